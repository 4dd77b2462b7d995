use decide::member::MemberList;
use model::{Incarnation, StepError};
use prost::Message as _;
use store::{KeyStore, StoreError};
use wire::state::MemberRecord;

use crate::store_key::{MEMBERS, read_record, store_step_error};

/// Attempts against other hosts that start at the same moment.
const MAX_ATTEMPTS: usize = 50;

/// Bytes of the mark that tells two claims apart.
const NONCE_LENGTH: usize = 16;

/// Takes the next incarnation number from the store.
///
/// The number comes from a counter in the member list and not from a clock: a host that is
/// replaced by a machine whose clock is behind would otherwise look older than its
/// predecessor, and its beats would be taken for leftovers. The write carries a random mark:
/// after a lost answer the store client takes a record with the same bytes for its own, and
/// without the mark two hosts could so get the same number. A write whose fate stays unknown
/// costs a number and nothing else.
///
/// # Errors
/// If the store can't be reached; a host can't start without it.
pub fn claim_incarnation(store: &dyn KeyStore) -> Result<Incarnation, StepError> {
    let mut mark = [0; NONCE_LENGTH];
    getrandom::fill(&mut mark)
        .map_err(|error| StepError::new("claim incarnation", "", error.to_string()))?;
    let mut last = StoreError::Unavailable("not tried".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        let (version, record) = read_record::<MemberRecord>(store, MEMBERS)
            .map_err(|error| store_step_error("read member list", error))?;
        let (next, incarnation) = MemberList::new(record).with_next_incarnation(&mark);
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
