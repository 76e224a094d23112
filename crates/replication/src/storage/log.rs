//! The log of all groups of one machine.
//!
//! All groups share one file, so that one sync makes the writes of all of them
//! durable. Snapshots are files of their own; a new log file starts with
//! references to them when the old one has grown.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use calicohoist_telemetry::{Event, emit};
use calicohoist_wire::{decode, encode};
use serde::{Deserialize, Serialize};

use super::frame::{self, Found};
use super::{Disk, DiskError};
use crate::message::{Entry, GroupId, HardState, Index, Membership, SegmentId, Snapshot};

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SEGMENT_PREFIX: &str = "segment-";
const IDENTITY_FILE: &str = "identity";

/// One change to a group's stored state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Write {
    /// Term and vote.
    HardState(GroupId, HardState),
    /// Drops stored entries from an index on.
    Truncate(GroupId, Index),
    /// Adds entries.
    Append(GroupId, Vec<Entry>),
    /// The group's state starts from a snapshot file; earlier entries are dropped,
    /// and all entries if `clears_log`.
    Snapshot {
        /// The group.
        group: GroupId,
        /// Index of the snapshot; names its file.
        index: Index,
        /// Whether entries after `index` are dropped, too.
        clears_log: bool,
    },
}

/// What was found of one group.
#[derive(Debug)]
pub struct RecoveredGroup {
    /// Term and vote.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What was found on a disk.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Identity of the data folder; `None` for a folder that was never used.
    pub disk: Option<u32>,
    /// Machines of the first membership, on a disk of the first start.
    pub founders: Vec<u32>,
    /// The groups.
    pub groups: BTreeMap<GroupId, RecoveredGroup>,
    /// Segments that are held whole.
    pub segments: BTreeSet<(GroupId, SegmentId)>,
}

#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    snapshot: Option<Index>,
    entries: Vec<Entry>,
}

/// The open log.
#[derive(Debug)]
pub struct DiskLog<D> {
    disk: D,
    number: u64,
    bytes: usize,
}

impl<D: Disk> DiskLog<D> {
    /// Opens the log and reads everything that was stored.
    ///
    /// # Errors
    /// [`DiskError::Corrupt`] when a file is damaged other than by a crash.
    pub fn open(disk: D) -> Result<(Self, Recovered), DiskError> {
        let number = newest_log(&disk)?;
        let mut log = Self { disk, number, bytes: 0 };
        let replayed = log.replay()?;
        let (disk, founders) = log.read_identity()?;
        let segments = log.segments()?;
        let mut recovered = Recovered { disk, founders, groups: BTreeMap::new(), segments };
        for (group, replay) in replayed {
            let snapshot = log.read_snapshot(group, replay.snapshot)?;
            let found = RecoveredGroup {
                hard_state: replay.hard_state,
                snapshot: Arc::new(snapshot),
                entries: replay.entries,
            };
            recovered.groups.insert(group, found);
        }
        Ok((log, recovered))
    }

    /// Stores the identity of a new data folder, and the founders if it is one of theirs.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn write_identity(&mut self, disk: u32, founders: &[u32]) -> Result<(), DiskError> {
        let mut file = Vec::new();
        let words = std::iter::once(&disk).chain(founders);
        let payload: Vec<u8> = words.flat_map(|word| word.to_le_bytes()).collect();
        frame::write(&mut file, &payload);
        self.disk.replace(IDENTITY_FILE, &file)
    }

    /// Makes `writes` durable together.
    ///
    /// # Errors
    /// When the disk fails or is full. Nothing may be assumed stored.
    pub fn commit(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let name = log_name(self.number);
        let mut batch = Vec::new();
        frame::write(&mut batch, &encoded(&name, &writes)?);
        self.disk.append(&name, &batch)?;
        self.disk.sync(&name)?;
        self.bytes += batch.len();
        Ok(())
    }

    /// Bytes in the current log file.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a snapshot file. It counts once a [`Write::Snapshot`] refers to it.
    ///
    /// # Errors
    /// When the disk fails or is full.
    pub fn store_snapshot(&mut self, group: GroupId, snapshot: &Snapshot) -> Result<(), DiskError> {
        let name = snapshot_name(group, snapshot.index);
        let mut file = Vec::new();
        frame::write(&mut file, &encoded(&name, snapshot)?);
        self.disk.replace(&name, &file)
    }

    /// Drops the snapshot files of a group other than those at `kept`.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn remove_snapshots_but(
        &mut self,
        group: GroupId,
        kept: &[Index],
    ) -> Result<(), DiskError> {
        let kept: Vec<String> = kept.iter().map(|index| snapshot_name(group, *index)).collect();
        self.remove_files_but(&format!("{SNAPSHOT_PREFIX}{group}-"), &kept)
    }

    /// Stores a whole segment, durably.
    ///
    /// # Errors
    /// When the disk fails or is full.
    pub fn store_segment(
        &mut self,
        group: GroupId,
        segment: SegmentId,
        bytes: &[u8],
    ) -> Result<(), DiskError> {
        self.disk.replace(&segment_name(group, segment), bytes)
    }

    /// Part of a segment; shorter than `length` at its end.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn read_segment(
        &self,
        group: GroupId,
        segment: SegmentId,
        offset: u64,
        length: usize,
    ) -> Result<Vec<u8>, DiskError> {
        self.disk.read_range(&segment_name(group, segment), offset, length)
    }

    /// Length of a segment, in bytes; `None` when it is not held.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn segment_length(
        &self,
        group: GroupId,
        segment: SegmentId,
    ) -> Result<Option<u64>, DiskError> {
        self.disk.length(&segment_name(group, segment))
    }

    /// Drops a segment.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn remove_segment(&mut self, group: GroupId, segment: SegmentId) -> Result<(), DiskError> {
        self.disk.remove(&segment_name(group, segment))
    }

    fn segments(&self) -> Result<BTreeSet<(GroupId, SegmentId)>, DiskError> {
        let names = self.disk.list()?;
        Ok(names.iter().filter_map(|name| segment_of(name)).collect())
    }

    /// Starts a new log file that holds only `writes`, and drops what it replaces.
    ///
    /// # Errors
    /// When the disk fails or is full; the old log stays in use.
    pub fn rewrite(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let number = self.number + 1;
        let name = log_name(number);
        let mut file = Vec::new();
        frame::write(&mut file, &encoded(&name, &writes)?);
        self.disk.replace(&name, &file)?;
        self.disk.remove(&log_name(self.number))?;
        self.number = number;
        self.bytes = file.len();
        self.remove_old_snapshots(writes)
    }

    /// Gives the disk back, for instance to crash a simulated one.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, for instance to inspect a simulated one.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    fn remove_old_snapshots(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let in_use: Vec<String> = writes
            .iter()
            .filter_map(|write| match write {
                Write::Snapshot { group, index, .. } => Some(snapshot_name(*group, *index)),
                _ => None,
            })
            .collect();
        self.remove_files_but(SNAPSHOT_PREFIX, &in_use)
    }

    /// Removes the files whose names begin with `prefix`, but for those in `kept`.
    fn remove_files_but(&mut self, prefix: &str, kept: &[String]) -> Result<(), DiskError> {
        for name in self.disk.list()? {
            if name.starts_with(prefix) && !kept.contains(&name) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }

    fn replay(&mut self) -> Result<BTreeMap<GroupId, Replay>, DiskError> {
        let name = log_name(self.number);
        let bytes = self.disk.read(&name)?.unwrap_or_default();
        let mut groups = BTreeMap::new();
        let mut offset = 0;
        loop {
            match frame::read(&name, &bytes, offset)? {
                Found::End => break,
                Found::CutShort => {
                    emit!(Event::LogTailCut, "{name}: cut from byte {offset}");
                    self.disk.truncate(&name, offset)?;
                    break;
                }
                Found::Frame(payload, next) => {
                    let writes: Vec<Write> = decoded(&name, offset, payload)?;
                    writes.into_iter().for_each(|write| replay_write(&mut groups, write));
                    offset = next;
                }
            }
        }
        self.bytes = offset;
        Ok(groups)
    }

    fn read_identity(&self) -> Result<(Option<u32>, Vec<u32>), DiskError> {
        let Some(bytes) = self.disk.read(IDENTITY_FILE)? else {
            return Ok((None, Vec::new()));
        };
        let Found::Frame(payload, _) = frame::read(IDENTITY_FILE, &bytes, 0)? else {
            return Err(corrupt(IDENTITY_FILE, 0, "incomplete"));
        };
        let (words, rest) = payload.as_chunks::<4>();
        let mut numbers = words.iter().map(|word| u32::from_le_bytes(*word));
        match numbers.next() {
            Some(disk) if rest.is_empty() => Ok((Some(disk), numbers.collect())),
            _ => Err(corrupt(IDENTITY_FILE, 0, "wrong length")),
        }
    }

    fn read_snapshot(&self, group: GroupId, index: Option<Index>) -> Result<Snapshot, DiskError> {
        let Some(index) = index else {
            return Ok(Snapshot {
                index: 0,
                term: 0,
                membership: Membership::default(),
                segments: BTreeSet::new(),
                data: Vec::new(),
            });
        };
        let name = snapshot_name(group, index);
        let bytes = self.disk.read(&name)?;
        let bytes = bytes.ok_or_else(|| corrupt(&name, 0, "missing"))?;
        match frame::read(&name, &bytes, 0)? {
            Found::Frame(payload, _) => decoded(&name, 0, payload),
            Found::End | Found::CutShort => Err(corrupt(&name, 0, "incomplete")),
        }
    }
}

fn replay_write(groups: &mut BTreeMap<GroupId, Replay>, write: Write) {
    match write {
        Write::HardState(group, hard_state) => {
            groups.entry(group).or_default().hard_state = hard_state;
        }
        Write::Truncate(group, from) => {
            let entries = &mut groups.entry(group).or_default().entries;
            entries.retain(|entry| entry.index < from);
        }
        Write::Append(group, entries) => {
            groups.entry(group).or_default().entries.extend(entries);
        }
        Write::Snapshot { group, index, clears_log } => {
            let replay = groups.entry(group).or_default();
            replay.snapshot = Some(index);
            replay.entries.retain(|entry| !clears_log && entry.index > index);
        }
    }
}

fn newest_log(disk: &impl Disk) -> Result<u64, DiskError> {
    let names = disk.list()?;
    let numbers = names.iter().filter_map(|name| name.strip_prefix(LOG_PREFIX)?.parse().ok());
    Ok(numbers.max().unwrap_or(1))
}

fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:08}")
}

fn snapshot_name(group: GroupId, index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{group}-{index:012}")
}

fn segment_name(group: GroupId, segment: SegmentId) -> String {
    format!("{SEGMENT_PREFIX}{group}-{:012}", segment.0)
}

fn segment_of(name: &str) -> Option<(GroupId, SegmentId)> {
    let (group, segment) = name.strip_prefix(SEGMENT_PREFIX)?.split_once('-')?;
    Some((GroupId(group.parse().ok()?), SegmentId(segment.parse().ok()?)))
}

fn corrupt(file: &str, offset: usize, problem: &str) -> DiskError {
    DiskError::Corrupt { file: file.to_owned(), offset, problem: problem.to_owned() }
}

fn encoded<T: Serialize>(file: &str, value: &T) -> Result<Vec<u8>, DiskError> {
    encode(value).map_err(|error| corrupt(file, 0, &error.to_string()))
}

fn decoded<T: for<'a> Deserialize<'a>>(
    file: &str,
    offset: usize,
    payload: &[u8],
) -> Result<T, DiskError> {
    decode(payload).map_err(|error| corrupt(file, offset, &error.to_string()))
}
