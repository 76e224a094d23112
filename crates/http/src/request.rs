//! Requests as a client sends them.

use std::net::SocketAddr;

use serde::Serialize;

use crate::client::ClientError;

/// Characters of a request target that are sent as they are, besides letters and digits.
const TARGET_CHARACTERS: &[u8] = b"-._~:/?[]@!$&'()*+,;=%";

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// DELETE.
    Delete,
}

impl Method {
    /// Returns the method as sent.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// Request in the form in which it is sent.
pub(crate) struct EncodedRequest(Vec<u8>);

impl EncodedRequest {
    /// Encodes the head of a request. The connection is closed after the response.
    pub(crate) fn new(
        method: Method,
        path: &str,
        host: SocketAddr,
        headers: &[(&'static str, String)],
    ) -> Result<Self, ClientError> {
        let mut head = format!("{} {} HTTP/1.1\r\n", method.as_str(), encode_target(path));
        head.push_str(&format!("host: {host}\r\nconnection: close\r\naccept: */*\r\n"));
        for (name, value) in headers {
            if value.bytes().any(|byte| byte.is_ascii_control()) {
                let reason = format!("the value of the header {name} is not valid");
                return Err(ClientError::InvalidRequest(reason));
            }
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        Ok(Self(head.into_bytes()))
    }

    /// Ends a request without a body.
    pub(crate) fn without_body(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"\r\n");
        self.0
    }

    /// Ends the request with `body` as JSON.
    pub(crate) fn with_json<B: Serialize>(mut self, body: &B) -> Result<Vec<u8>, ClientError> {
        let invalid = |error: serde_json::Error| ClientError::InvalidRequest(error.to_string());
        let body = serde_json::to_vec(body).map_err(invalid)?;
        let length = body.len();
        let headers = format!("content-type: application/json\r\ncontent-length: {length}\r\n\r\n");
        self.0.extend_from_slice(headers.as_bytes());
        self.0.extend_from_slice(&body);
        Ok(self.0)
    }
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
