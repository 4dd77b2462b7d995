use decide::member::MemberList;
use model::{Incarnation, StepError};
use prost::Message as _;
use store::{KeyStore, StoreError};
use wire::state::MemberRecord;

use crate::store_key::{MEMBERS, read_record, store_step_error};

/// Maximum attempts in case other hosts claim at the same time.
const MAX_ATTEMPTS: usize = 50;

/// Bytes of the nonce that distinguishes two claims.
const NONCE_LENGTH: usize = 16;

/// Takes the next incarnation number from the store.
///
/// The number comes from a counter in the member list and not from a clock. With a clock, a
/// replacement machine whose clock is behind would seem older than its predecessor, and its
/// heartbeats would be ignored as outdated. The write includes a random nonce: after a lost
/// response, the store client takes a record with the same bytes for its own, so without the
/// nonce two hosts could get the same number. A write with an unknown outcome only skips a
/// number.
///
/// # Errors
/// If the store is unreachable or rejects the write; a host can't start without the store.
pub fn claim_incarnation(store: &dyn KeyStore) -> Result<Incarnation, StepError> {
    let mut nonce = [0; NONCE_LENGTH];
    getrandom::fill(&mut nonce)
        .map_err(|error| StepError::new("claim incarnation", "", error.to_string()))?;
    let mut last = StoreError::Unavailable("not tried".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        let (version, record) = read_record::<MemberRecord>(store, MEMBERS)
            .map_err(|error| store_step_error("read member list", error))?;
        let (next, incarnation) = MemberList::new(record).with_next_incarnation(&nonce);
        match store.swap(MEMBERS, version, &next.record().encode_to_vec()) {
            Ok(_) => return Ok(incarnation),
            Err(error @ StoreError::Rejected(_)) => {
                return Err(store_step_error("claim incarnation", error));
            }
            Err(error) => last = error,
        }
    }
    Err(store_step_error("claim incarnation", last))
}
