//! Requests that a gateway sends to a replica on its own account.

use calicohoist_routing::Replica;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response};

use super::ReplicaConnection;

/// Sends a GET request to a replica. `add_headers` adds headers to that of the host. Returns `None`
/// if there is no response.
pub(super) async fn get(
    sender: &mut ReplicaConnection,
    replica: &Replica,
    path: &str,
    add_headers: impl FnOnce(&mut HeaderMap),
) -> Option<Response<Incoming>> {
    let host = HeaderValue::from_str(&replica.address.to_string()).ok()?;
    let mut request = Request::get(path).header(HOST, host).body(Full::default()).ok()?;
    add_headers(request.headers_mut());
    sender.ready().await.ok()?;
    sender.send_request(request).await.ok()
}
