//! Durable storage: one checksummed log for all groups of a machine.

mod disk;
mod frame;
mod log;

pub use disk::{DirectoryDisk, Disk};
pub use log::{DiskLog, Recovered, RecoveredGroup, Write};

use crate::message::{GroupId, Index};

/// Why storage failed. A replica that meets any of these stops taking part.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system refused an operation.
    #[error("{operation} {file}: {source}")]
    Io {
        /// What was done.
        operation: &'static str,
        /// To which file.
        file: String,
        /// The refusal.
        source: std::io::Error,
    },
    /// A file holds something else than what was written.
    #[error("{file} is damaged at byte {offset}: {problem}")]
    Corrupt {
        /// The file.
        file: String,
        /// Where.
        offset: usize,
        /// What is wrong.
        problem: String,
    },
    /// What the log holds is whole, and of a kind that this build does not know.
    #[error("{what} {index} of group {group} cannot be read by this build; start a newer one")]
    Unreadable {
        /// The group.
        group: GroupId,
        /// An entry or a snapshot.
        what: &'static str,
        /// Its index.
        index: Index,
    },
}

impl DiskError {
    /// Whether it says that the disk is full.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { source, .. } => source.kind() == std::io::ErrorKind::StorageFull,
            Self::Corrupt { .. } | Self::Unreadable { .. } => false,
        }
    }
}
