//! Client of the platform's machine list.

use std::net::SocketAddr;

use calicohoist_http::HttpClient;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::MachineStatus;

use super::{CONNECT_TIMEOUT, CONTROL_TIMEOUT, MAX_LIST_BYTES};

/// Fetches the machine list; `None` when the platform does not answer.
pub fn list(address: SocketAddr) -> Option<Vec<MachineStatus>> {
    let client = HttpClient::new(address, CONNECT_TIMEOUT, CONTROL_TIMEOUT)
        .with_max_response_bytes(MAX_LIST_BYTES);
    match client.get("/v1/machines") {
        Ok(list) => Some(list),
        Err(error) => {
            emit!(Event::PlatformUnreachable, "{address}: {error}");
            None
        }
    }
}
