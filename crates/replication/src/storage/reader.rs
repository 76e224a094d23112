//! Reads the frames of a file one after the other, without holding the whole file in memory.

use super::frame::{FrameHeader, HEADER_BYTES};
use super::{Disk, DiskError};

/// Size of the pieces in which small frames are read, in bytes.
const PIECE_BYTES: usize = 256 << 10;
/// Number of trailing zero bytes from which the last frame is considered torn.
const MIN_TORN_ZEROS: usize = 8;

/// Result of reading a frame.
pub(super) enum FrameRead<'a> {
    /// A complete frame: its payload and the offset of the next frame.
    Frame(&'a [u8], usize),
    /// The end of the file.
    End,
    /// An incomplete frame left by a crash.
    Torn,
}

/// Reader of one file, which must not change meanwhile.
pub(super) struct FrameReader<'a, D> {
    disk: &'a D,
    file: &'a str,
    /// Length of the file in bytes.
    length: usize,
    /// Part of the file, from `piece_offset` on.
    piece: Vec<u8>,
    piece_offset: usize,
    /// CRC-32C of the frames read so far.
    checksum: u32,
}

impl<'a, D: Disk> FrameReader<'a, D> {
    /// Creates a reader; `None` if the file does not exist.
    ///
    /// # Errors
    /// When the disk fails.
    pub(super) fn open(disk: &'a D, file: &'a str) -> Result<Option<Self>, DiskError> {
        let length = disk.length(file)?.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        let reader =
            |length| Self { disk, file, length, piece: Vec::new(), piece_offset: 0, checksum: 0 };
        Ok(length.map(reader))
    }

    /// Length of the file in bytes.
    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// CRC-32C of the frames read so far, in the order in which they were read.
    pub(super) fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Reads the frame at `offset`.
    ///
    /// # Errors
    /// [`DiskError::Corrupt`] for damage that a torn write cannot explain, and other errors when
    /// the disk fails.
    pub(super) fn read(&mut self, offset: usize) -> Result<FrameRead<'_>, DiskError> {
        let remaining = self.length - offset;
        if remaining == 0 {
            return Ok(FrameRead::End);
        }
        if remaining < HEADER_BYTES {
            return Ok(FrameRead::Torn);
        }
        let mut bytes = [0; HEADER_BYTES];
        bytes.copy_from_slice(self.bytes(offset, HEADER_BYTES)?);
        let start = offset + HEADER_BYTES;
        let Some(header) = FrameHeader::read(&bytes) else {
            return self.torn_or(offset, "the frame header has a wrong magic number or checksum");
        };
        if header.payload_bytes > self.length - start {
            return Ok(FrameRead::Torn);
        }
        let next = start + header.payload_bytes;
        let payload = self.bytes(start, header.payload_bytes)?;
        let is_zero = payload.iter().all(|byte| *byte == 0);
        let is_intact = crc32c::crc32c(payload) == header.payload_checksum;
        if is_zero && self.ends_in_zeros(offset)? && self.is_zero_from(start)? {
            return Ok(FrameRead::Torn);
        }
        if !is_intact {
            if next == self.length && self.ends_in_zeros(offset)? {
                return Ok(FrameRead::Torn);
            }
            return Err(self.corrupt(offset, "the payload does not match its checksum"));
        }
        let with_header = crc32c::crc32c_append(self.checksum, &bytes);
        self.checksum =
            crc32c::crc32c_combine(with_header, header.payload_checksum, header.payload_bytes);
        Ok(FrameRead::Frame(self.bytes(start, header.payload_bytes)?, next))
    }

    /// Tells a frame at `offset` of which nothing but zeros follows the header from damage.
    fn torn_or(&mut self, offset: usize, problem: &str) -> Result<FrameRead<'_>, DiskError> {
        if self.ends_in_zeros(offset)? && self.is_zero_from(offset + HEADER_BYTES)? {
            return Ok(FrameRead::Torn);
        }
        Err(self.corrupt(offset, problem))
    }

    /// Whether the file ends in zeros that belong to the frame at `offset`, or to what follows it.
    fn ends_in_zeros(&mut self, offset: usize) -> Result<bool, DiskError> {
        let from = self.length.saturating_sub(MIN_TORN_ZEROS);
        if from < offset {
            return Ok(false);
        }
        let end = self.disk.read_range(self.file, from as u64, MIN_TORN_ZEROS)?;
        Ok(end == [0; MIN_TORN_ZEROS])
    }

    /// Whether only zeros follow from `offset` on.
    fn is_zero_from(&mut self, offset: usize) -> Result<bool, DiskError> {
        let mut offset = offset;
        while offset < self.length {
            let length = PIECE_BYTES.min(self.length - offset);
            if self.bytes(offset, length)?.iter().any(|byte| *byte != 0) {
                return Ok(false);
            }
            offset += length;
        }
        Ok(true)
    }

    /// Returns a part of the file.
    fn bytes(&mut self, offset: usize, length: usize) -> Result<&[u8], DiskError> {
        let is_read =
            offset >= self.piece_offset && offset + length <= self.piece_offset + self.piece.len();
        if !is_read {
            // Freed before the next one is read.
            self.piece = Vec::new();
            let wanted = length.max(PIECE_BYTES).min(self.length - offset);
            self.piece = self.disk.read_range(self.file, offset as u64, wanted)?;
            self.piece_offset = offset;
        }
        let start = offset - self.piece_offset;
        match self.piece.get(start..start + length) {
            Some(bytes) => Ok(bytes),
            None => Err(self.corrupt(offset, "the file has become shorter")),
        }
    }

    fn corrupt(&self, offset: usize, problem: &str) -> DiskError {
        DiskError::Corrupt { file: self.file.to_owned(), offset, problem: problem.to_owned() }
    }
}
