use std::time::Duration;

use hyper::Method;
use link::{CallClient, HttpCall, HttpCallError};
use prost::Message;
use wire::work::{OwnerAnswer, OwnerCall};

/// Path on which processes of the cell answer each other.
pub(crate) const OWNER_PATH: &str = "/owner";

/// Sends a call to another process of the cell.
///
/// # Errors
/// [`HttpCallError::NotSent`] if the process can't have received the call.
pub(crate) async fn call_peer(
    client: &CallClient,
    address: &str,
    call: &OwnerCall,
    timeout: Duration,
) -> Result<OwnerAnswer, HttpCallError> {
    let request = HttpCall::new("ask owner", address, Method::POST, OWNER_PATH, timeout)
        .with_body(call.encode_to_vec());
    let reply = client.call(request).await?;
    let unreadable = |cause: String| {
        HttpCallError::Unanswered(model::StepError::new("ask owner", address, cause))
    };
    if reply.status != 200 {
        return Err(unreadable(format!("status {}", reply.status)));
    }
    OwnerAnswer::decode(reply.body).map_err(|error| unreadable(error.to_string()))
}
