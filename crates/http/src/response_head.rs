//! Heads of responses, as read by a client.

use std::io::{self, BufRead, Read};

use httparse::Status;

/// Maximum size of the head of a response, including interim responses before it, in bytes.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;
/// Statuses of responses that precede the final one.
const INTERIM_STATUSES: std::ops::Range<u16> = 100..200;

/// Error in reading the head of a response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HeadError {
    /// The connection failed, timed out or ended.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The head has not ended at the size limit.
    #[error("the head of the response exceeds {MAX_HEAD_BYTES} bytes")]
    TooLarge,
    /// The head is not valid HTTP.
    #[error("the head of the response is not valid: {0}")]
    Invalid(#[from] httparse::Error),
    /// The length of the body is not valid.
    #[error("the length of the response is not valid")]
    InvalidLength,
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By a chunk without content.
    Chunked,
    /// By the number of bytes.
    Length(u64),
    /// By the end of the connection.
    UntilClose,
}

/// Status of a response, and the framing of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub status: u16,
    pub framing: BodyFraming,
}

impl ResponseHead {
    /// Reads the head of the final response; interim responses are skipped.
    pub(crate) fn read(input: &mut impl BufRead) -> Result<Self, HeadError> {
        let mut input = input.take(MAX_HEAD_BYTES);
        loop {
            let head = Self::parse(&read_lines(&mut input)?)?;
            if !INTERIM_STATUSES.contains(&head.status) {
                return Ok(head);
            }
        }
    }

    fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let (Status::Complete(_), Some(status)) = (response.parse(bytes)?, response.code) else {
            return Err(HeadError::Invalid(httparse::Error::Status));
        };
        let framing = match status {
            204 | 304 => BodyFraming::Length(0),
            _ => body_framing(response.headers)?,
        };
        Ok(Self { status, framing })
    }
}

/// Reads up to and including an empty line.
fn read_lines(input: &mut io::Take<impl BufRead>) -> Result<Vec<u8>, HeadError> {
    let mut bytes = Vec::new();
    loop {
        let start = bytes.len();
        input.read_until(b'\n', &mut bytes)?;
        match &bytes[start..] {
            [.., b'\n'] if input.limit() == 0 => return Err(HeadError::TooLarge),
            b"\r\n" | b"\n" if start > 0 => return Ok(bytes),
            [.., b'\n'] => {}
            _ if input.limit() == 0 => return Err(HeadError::TooLarge),
            _ => return Err(HeadError::Io(io::ErrorKind::UnexpectedEof.into())),
        }
    }
}

fn body_framing(headers: &[httparse::Header<'_>]) -> Result<BodyFraming, HeadError> {
    let named = |name: &'static str| {
        headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    if named("transfer-encoding").any(|header| is_chunked(header.value)) {
        return Ok(BodyFraming::Chunked);
    }
    let mut framing = BodyFraming::UntilClose;
    for header in named("content-length") {
        let length = BodyFraming::Length(parse_length(header.value)?);
        if framing != BodyFraming::UntilClose && framing != length {
            return Err(HeadError::InvalidLength);
        }
        framing = length;
    }
    Ok(framing)
}

fn is_chunked(value: &[u8]) -> bool {
    let codings = value.split(|byte| *byte == b',');
    codings.map(<[u8]>::trim_ascii).any(|coding| coding.eq_ignore_ascii_case(b"chunked"))
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let digits = value.trim_ascii();
    let is_number = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(HeadError::InvalidLength)
}
