//! Requests that a gateway sends to a replica on its own account.

use bytes::Bytes;
use calicohoist_outbound::has_readable_body;
use calicohoist_routing::Replica;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response};

use super::ReplicaConnection;

/// Maximum size of the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Sends a GET request to a replica. `add_headers` adds headers to that of the host. Returns `None`
/// if there is no complete response.
pub(super) async fn get(
    sender: &mut ReplicaConnection,
    replica: &Replica,
    path: &str,
    add_headers: impl FnOnce(&mut HeaderMap),
) -> Option<Response<Bytes>> {
    let host = HeaderValue::from_str(&replica.address.to_string()).ok()?;
    let mut request = Request::get(path).header(HOST, host).body(Full::default()).ok()?;
    add_headers(request.headers_mut());
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok().filter(has_readable_body)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(Response::from_parts(head, body.to_bytes()))
}
