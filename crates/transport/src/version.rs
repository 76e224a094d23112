//! Negotiation of the protocol version of a connection.
//!
//! The process that opens a connection offers the versions that it supports, and the other one
//! chooses the newest common version. Builds that predate the negotiation send a message as the
//! first frame, which differs from an offer in its first byte. They close a connection that begins
//! with an offer; the opener then reconnects and uses [`ProtocolVersion::LEGACY`].

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use calicohoist_wire::{FrameError, decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::frame::{FrameReader, HEADER_BYTES, frame_payload, split_header};
use crate::tcp;

/// First byte of an offer and of its answer. Messages of the legacy version begin with a
/// variable-length integer, whose first byte never has this value.
const HANDSHAKE_MARKER: u8 = 0xff;
/// Maximum length of the answer to an offer, in bytes.
const MAX_ANSWER_BYTES: usize = 64;
/// Time within which an offer must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a process of the legacy version is offered the versions again. A process that is
/// starting or stopping may close a connection as legacy builds do.
pub const LEGACY_CONNECTION_TTL: Duration = Duration::from_millis(1_000);

/// Version of the message format on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProtocolVersion(u16);

impl ProtocolVersion {
    /// Version of builds that predate the negotiation.
    pub const LEGACY: Self = Self(1);

    /// Creates a version from its number, starting at 1.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }
}

impl fmt::Display for ProtocolVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ProtocolVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Range of versions that a process supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Oldest supported version.
    pub oldest: ProtocolVersion,
    /// Newest supported version.
    pub newest: ProtocolVersion,
}

impl VersionRange {
    /// Returns the newest version in both ranges.
    pub fn newest_common(self, other: Self) -> Option<ProtocolVersion> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }

    fn contains(self, version: ProtocolVersion) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} to {}", self.oldest, self.newest)
    }
}

/// Answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OfferAnswer {
    /// The version used from now on.
    Chosen(ProtocolVersion),
    /// There is no common version, and the connection is closed. Carries the supported versions.
    NoneCommon(VersionRange),
}

/// Failure of the version negotiation.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The connection failed or timed out.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection on the offer, as builds without negotiation do.
    #[error("the peer closed the connection without answering the version offer")]
    NoAnswer,
    /// The two sides have no version in common.
    #[error("no common protocol version: local {ours}, remote {theirs}")]
    NoCommonVersion {
        /// Versions supported by the local side.
        ours: VersionRange,
        /// Versions supported by the remote side.
        theirs: VersionRange,
    },
    /// The offer or the answer could not be decoded.
    #[error("malformed version negotiation: {0}")]
    Malformed(#[from] FrameError),
}

/// Connects and negotiates a version. Reconnects without an offer if the peer does not answer it
/// and `ours` contains the legacy version.
///
/// # Errors
/// See [`VersionError`].
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    user_timeout: Duration,
    ours: VersionRange,
) -> Result<(TcpStream, ProtocolVersion), VersionError> {
    let mut stream = tcp::connect(address, connect_timeout, user_timeout).await?;
    let offered = timeout(ANSWER_TIMEOUT, offer(&mut stream, ours)).await;
    match offered.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into())) {
        Ok(version) => Ok((stream, version)),
        Err(VersionError::NoAnswer) if ours.contains(ProtocolVersion::LEGACY) => {
            let stream = tcp::connect(address, connect_timeout, user_timeout).await?;
            Ok((stream, ProtocolVersion::LEGACY))
        }
        Err(error) => Err(error),
    }
}

/// Sends an offer of `ours` and waits for the answer.
///
/// # Errors
/// See [`VersionError`].
pub async fn offer<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    ours: VersionRange,
) -> Result<ProtocolVersion, VersionError> {
    stream.write_all(&encode_handshake(&ours)?).await?;
    match read_answer(stream).await? {
        OfferAnswer::Chosen(version) => Ok(version),
        OfferAnswer::NoneCommon(theirs) => Err(VersionError::NoCommonVersion { ours, theirs }),
    }
}

/// Reads the offer at the start of a connection and answers it with the newest common version. If
/// the first frame is not an offer, leaves it unread and assumes the legacy version.
///
/// # Errors
/// See [`VersionError`].
pub async fn accept_offer<R, W>(
    frames: &mut FrameReader<R>,
    output: &mut W,
    ours: VersionRange,
) -> Result<ProtocolVersion, VersionError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    frames.wait_for_first_frame().await?;
    let legacy = VersionRange { oldest: ProtocolVersion::LEGACY, newest: ProtocolVersion::LEGACY };
    let offered =
        match frames.next_payload_if(|payload| payload.first() == Some(&HANDSHAKE_MARKER)).await? {
            Some(payload) => Some(decode_handshake::<VersionRange>(&payload)?),
            None => None,
        };
    let theirs = offered.unwrap_or(legacy);
    let common = ours.newest_common(theirs);
    if offered.is_some() {
        let answer = common.map_or(OfferAnswer::NoneCommon(ours), OfferAnswer::Chosen);
        output.write_all(&encode_handshake(&answer)?).await?;
    }
    common.ok_or(VersionError::NoCommonVersion { ours, theirs })
}

fn encode_handshake<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(frame_payload(&[&[HANDSHAKE_MARKER], encode(message)?.as_slice()].concat()))
}

fn decode_handshake<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    decode(payload.strip_prefix(&[HANDSHAKE_MARKER]).unwrap_or_default())
}

/// Reads the answer without consuming any bytes after it.
async fn read_answer<S: AsyncRead + Unpin>(stream: &mut S) -> Result<OfferAnswer, VersionError> {
    let mut header = [0; HEADER_BYTES];
    // Only an orderly close indicates a legacy build. A reset may have other causes.
    if stream.read(&mut header[..1]).await? == 0 {
        return Err(VersionError::NoAnswer);
    }
    stream.read_exact(&mut header[1..]).await?;
    let (length, checksum) = split_header(&header);
    if length > MAX_ANSWER_BYTES {
        return Err(FrameError::TooLong(length).into());
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await?;
    if crc32c::crc32c(&payload) != checksum {
        return Err(FrameError::Checksum.into());
    }
    Ok(decode_handshake(&payload)?)
}
