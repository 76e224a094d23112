//! Durable storage: a checksummed log file shared by all groups of a machine.

mod batch;
mod disk;
mod frame;
mod log;
mod reader;

pub use disk::{DirectoryDisk, Disk};
pub use log::{DiskLog, Recovered, RecoveredGroup, Write};

use crate::message::{GroupId, Index};

/// Storage failure. A replica stops on any of these.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A file operation failed.
    #[error("{operation} {file}: {source}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// File name.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content of a file is damaged.
    #[error("{file} is damaged at byte {offset}: {problem}")]
    Corrupt {
        /// File name.
        file: String,
        /// Offset of the damage, in bytes.
        offset: usize,
        /// Description of the damage.
        problem: String,
    },
    /// The content is too large for a frame of the file, and was not written.
    #[error("{file}: {bytes} bytes exceed the size of a frame")]
    TooLarge {
        /// File name.
        file: String,
        /// Size of the content, in bytes.
        bytes: usize,
    },
    /// An intact entry or snapshot has a format unknown to this build.
    #[error("{what} {index} of group {group} can only be decoded by a newer build")]
    Unreadable {
        /// The group.
        group: GroupId,
        /// `"entry"` or `"snapshot"`.
        what: &'static str,
        /// Index of the entry or snapshot.
        index: Index,
    },
}

impl DiskError {
    /// Whether the error is caused by a full disk.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { source, .. } => source.kind() == std::io::ErrorKind::StorageFull,
            Self::Corrupt { .. } | Self::TooLarge { .. } | Self::Unreadable { .. } => false,
        }
    }
}
