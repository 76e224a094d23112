//! Segments of retained turns on the disks of the ledger machines.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

/// Prefix of the names of segment files.
const SEGMENT_PREFIX: &str = "segment-";

/// Segments that were seen on all machines.
#[derive(Clone, Debug, Default)]
pub struct SegmentLog {
    seen: BTreeSet<PathBuf>,
    /// Most segments on a machine at the same time.
    most: usize,
    /// Segments on all machines when they were last observed.
    last: usize,
}

impl SegmentLog {
    /// Notes the segments in the folders of all machines.
    pub fn observe(&mut self, folders: &[PathBuf]) {
        self.last = 0;
        for folder in folders {
            let segments = segments_in(folder);
            self.most = self.most.max(segments.len());
            self.last += segments.len();
            self.seen.extend(segments);
        }
    }
}

impl fmt::Display for SegmentLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seen, most, last } = self;
        let written = seen.len();
        write!(formatter, "{written} segments written, at most {most} on a machine, {last} left")
    }
}

/// Returns the paths of the segments in a folder, which may not exist.
fn segments_in(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    let is_segment = |path: &PathBuf| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with(SEGMENT_PREFIX))
    };
    files.map(|file| file.path()).filter(is_segment).collect()
}
