//! Versions of the protocol on a link: offered by whoever opens it, chosen by whoever takes it.
//!
//! A process that opens a connection offers the versions that it speaks, and the other one chooses
//! the newest that both do. Builds that knew no versions neither offer nor choose. Their first frame
//! is a message, which is told from an offer by its first byte, and they close a connection that
//! begins with an offer: the opener then connects anew and speaks [`ProtocolVersion::UNNAMED`].

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

use crate::frame::{FrameReader, HEADER_BYTES, frame_of, split_header};
use crate::tcp;

/// First byte of an offer and of its answer. Every message of the unnamed version begins with an
/// integer of variable length, whose first byte is never this one.
const MARK: u8 = 0xff;
/// Longest offer or answer, in bytes.
const MAX_BYTES: usize = 64;
/// How long the answer to an offer may take: it touches neither log nor disk, and a process that
/// does not give it would not answer a question either.
const ANSWER_PATIENCE: Duration = Duration::from_millis(300);

/// Which form messages have on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProtocolVersion(u16);

impl ProtocolVersion {
    /// What builds speak that neither offer nor choose a version.
    pub const UNNAMED: Self = Self(1);

    /// The version of this number, from 1 on.
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

/// The versions that a process speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest.
    pub oldest: ProtocolVersion,
    /// The newest.
    pub newest: ProtocolVersion,
}

impl VersionRange {
    /// The newest version in both ranges.
    pub fn common(self, other: Self) -> Option<ProtocolVersion> {
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

/// What an offer is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OfferAnswer {
    /// This version is spoken from now on.
    Chosen(ProtocolVersion),
    /// No version is common; the connection is closed. These were possible.
    NoneCommon(VersionRange),
}

/// Why no version was agreed on.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The connection broke, or nothing came in time.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the connection at the offer, as builds without versions do.
    #[error("the offer was not answered")]
    NotAnswered,
    /// Neither side speaks what the other one does.
    #[error("this side speaks versions {ours}, the other one {theirs}")]
    NoneCommon {
        /// Versions of this side.
        ours: VersionRange,
        /// Versions of the other side.
        theirs: VersionRange,
    },
    /// What came is neither an offer nor an answer to one.
    #[error("offer of versions: {0}")]
    Unreadable(#[from] FrameError),
}

/// Connects and agrees on a version.
///
/// # Errors
/// See [`VersionError`]; [`VersionError::NotAnswered`] is none while the unnamed version is `ours`.
pub async fn connect(
    address: SocketAddr,
    patience: Duration,
    user_timeout: Duration,
    ours: VersionRange,
) -> Result<(TcpStream, ProtocolVersion), VersionError> {
    let mut stream = tcp::connect(address, patience, user_timeout).await?;
    let offered = timeout(ANSWER_PATIENCE, offer(&mut stream, ours)).await;
    match offered.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into())) {
        Ok(version) => Ok((stream, version)),
        Err(VersionError::NotAnswered) if ours.contains(ProtocolVersion::UNNAMED) => {
            let stream = tcp::connect(address, patience, user_timeout).await?;
            Ok((stream, ProtocolVersion::UNNAMED))
        }
        Err(error) => Err(error),
    }
}

/// Offers `ours` and waits for the answer.
///
/// # Errors
/// See [`VersionError`].
pub async fn offer<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    ours: VersionRange,
) -> Result<ProtocolVersion, VersionError> {
    stream.write_all(&marked(&ours)?).await?;
    match read_answer(stream).await? {
        OfferAnswer::Chosen(version) => Ok(version),
        OfferAnswer::NoneCommon(theirs) => Err(VersionError::NoneCommon { ours, theirs }),
    }
}

/// Takes the offer that a connection begins with, and chooses. Without an offer the first frame is
/// left to be read, and the other side speaks the unnamed version.
///
/// # Errors
/// See [`VersionError`].
pub async fn choose<R, W>(
    frames: &mut FrameReader<R>,
    output: &mut W,
    ours: VersionRange,
) -> Result<ProtocolVersion, VersionError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let unnamed =
        VersionRange { oldest: ProtocolVersion::UNNAMED, newest: ProtocolVersion::UNNAMED };
    let offered = match frames.take_if(|payload| payload.first() == Some(&MARK)).await? {
        Some(payload) => Some(unmarked::<VersionRange>(&payload)?),
        None => None,
    };
    let theirs = offered.unwrap_or(unnamed);
    let common = ours.common(theirs);
    if offered.is_some() {
        let answer = common.map_or(OfferAnswer::NoneCommon(ours), OfferAnswer::Chosen);
        output.write_all(&marked(&answer)?).await?;
    }
    common.ok_or(VersionError::NoneCommon { ours, theirs })
}

fn marked<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(frame_of(&[&[MARK], encode(message)?.as_slice()].concat()))
}

fn unmarked<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    decode(payload.strip_prefix(&[MARK]).unwrap_or_default())
}

/// Reads the answer and not a byte more: what follows belongs to others.
async fn read_answer<S: AsyncRead + Unpin>(stream: &mut S) -> Result<OfferAnswer, VersionError> {
    let mut header = [0; HEADER_BYTES];
    // A reset may come from anywhere; only an orderly end shows that the offer was not understood.
    if stream.read(&mut header[..1]).await? == 0 {
        return Err(VersionError::NotAnswered);
    }
    stream.read_exact(&mut header[1..]).await?;
    let (length, checksum) = split_header(&header);
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length).into());
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await?;
    if crc32c::crc32c(&payload) != checksum {
        return Err(FrameError::Checksum.into());
    }
    Ok(unmarked(&payload)?)
}
