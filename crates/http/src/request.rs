//! Requests as a client sends them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT, CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::Serialize;

use crate::client::ClientError;

/// Characters of a request target that are sent as they are, besides letters and digits.
const TARGET_CHARACTERS: &[u8] = b"-._~:/?[]@!$&'()*+,;=%";

/// Content of a request.
pub(crate) enum RequestContent<'a, T> {
    /// No body.
    Empty,
    /// A body in JSON.
    Json(&'a T),
}

/// Builds a request after whose response the connection is closed.
pub(crate) fn build_request<T: Serialize>(
    method: Method,
    path: &str,
    host: SocketAddr,
    headers: &[(&'static str, String)],
    content: &RequestContent<'_, T>,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let mut builder = Request::builder()
        .method(method)
        .uri(encode_target(path))
        .header(HOST, host.to_string())
        .header(CONNECTION, "close")
        .header(ACCEPT, "*/*");
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    let body = match content {
        RequestContent::Empty => Vec::new(),
        RequestContent::Json(value) => {
            builder = builder.header(CONTENT_TYPE, "application/json");
            serde_json::to_vec(value)
                .map_err(|error| ClientError::InvalidRequest(error.to_string()))?
        }
    };
    let request = builder.body(Full::from(body));
    request.map_err(|error| ClientError::InvalidRequest(error.to_string()))
}

/// Encodes all characters of a path and query that a request line must not contain.
fn encode_target(path: &str) -> String {
    let mut target = String::with_capacity(path.len());
    for byte in path.bytes() {
        if byte.is_ascii_alphanumeric() || TARGET_CHARACTERS.contains(&byte) {
            target.push(char::from(byte));
        } else {
            target.push_str(&format!("%{byte:02X}"));
        }
    }
    target
}
