//! Heads of responses whose body cannot be read.

use hyper::header::TRANSFER_ENCODING;
use hyper::{Response, StatusCode};

/// Transfer coding that a connection decodes.
const CHUNKED: &[u8] = b"chunked";

/// Returns whether the body of a response is what its server meant to send. A connection decodes the
/// chunked transfer coding only, and reads a body with another last coding until it is closed. A
/// switch of protocols, which no request asks for, has no body.
pub fn has_readable_body<B>(response: &Response<B>) -> bool {
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let is_decoded = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED),
        (Some(_), Some(_)) => false,
    };
    is_decoded && response.status() != StatusCode::SWITCHING_PROTOCOLS
}
