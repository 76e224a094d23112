//! Log file shared by all groups of a machine.
//!
//! One sync makes the writes of all groups durable. Snapshots and segments are separate files.
//! When the log file has grown, it is replaced by a new one that refers to the latest snapshots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use calicohoist_telemetry::{Event, emit};
use calicohoist_wire::decode_stored;
use serde::{Deserialize, Serialize};

use super::batch::batches;
use super::frame;
use super::reader::{FrameRead, FrameReader};
use super::{Disk, DiskError};
use crate::message::{Entry, GroupId, HardState, Index, Membership, SegmentId, Snapshot};

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SEGMENT_PREFIX: &str = "segment-";
const IDENTITY_FILE: &str = "identity";

/// A change to the stored state of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Write {
    /// Term and vote.
    HardState(GroupId, HardState),
    /// Removes the entries from an index on.
    Truncate(GroupId, Index),
    /// Appends entries.
    Append(GroupId, Vec<Entry>),
    /// Puts a snapshot file into effect and removes the entries that it covers.
    Snapshot {
        /// The group.
        group: GroupId,
        /// Index of the snapshot, which is part of the file name.
        index: Index,
        /// Whether to remove the entries after `index` as well.
        clears_log: bool,
    },
}

/// Recovered state of one group.
#[derive(Debug)]
pub struct RecoveredGroup {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// State recovered from a disk.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Identity of the data folder; `None` for a new folder.
    pub disk: Option<u32>,
    /// Machines of the initial membership, if the folder was created at bootstrap.
    pub initial_machines: Vec<u32>,
    /// Recovered groups.
    pub groups: BTreeMap<GroupId, RecoveredGroup>,
    /// Stored segments.
    pub segments: BTreeSet<(GroupId, SegmentId)>,
}

#[derive(Debug, Default)]
struct ReplayedGroup {
    hard_state: HardState,
    snapshot: Option<Index>,
    entries: Vec<Entry>,
}

/// An open log.
#[derive(Debug)]
pub struct DiskLog<D> {
    disk: D,
    number: u64,
    bytes: usize,
}

impl<D: Disk> DiskLog<D> {
    /// Opens the log and recovers the stored state.
    ///
    /// # Errors
    /// [`DiskError::Corrupt`] for damage that a torn write cannot explain, and other errors when
    /// the disk fails.
    pub fn open(disk: D) -> Result<(Self, Recovered), DiskError> {
        let number = newest_log_number(&disk)?;
        let mut log = Self { disk, number, bytes: 0 };
        let replayed = log.replay()?;
        let (disk, initial_machines) = log.read_identity()?;
        let segments = log.list_segments()?;
        let mut recovered = Recovered { disk, initial_machines, groups: BTreeMap::new(), segments };
        for (group, replay) in replayed {
            let snapshot = log.read_snapshot(group, replay.snapshot)?;
            let recovered_group = RecoveredGroup {
                hard_state: replay.hard_state,
                snapshot: Arc::new(snapshot),
                entries: replay.entries,
            };
            recovered.groups.insert(group, recovered_group);
        }
        Ok((log, recovered))
    }

    /// Stores the identity of a new data folder and, at bootstrap, the initial machines.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn write_identity(&mut self, disk: u32, initial_machines: &[u32]) -> Result<(), DiskError> {
        let words = std::iter::once(&disk).chain(initial_machines);
        let payload: Vec<u8> = words.flat_map(|word| word.to_le_bytes()).collect();
        self.disk.replace(IDENTITY_FILE, &frame::wrap(IDENTITY_FILE, &payload)?)
    }

    /// Appends `writes` and syncs them. Writes too large for one frame take several; a crash may
    /// then leave only the first ones.
    ///
    /// # Errors
    /// When the disk fails or is full. It is then unknown which writes were stored.
    pub fn commit(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let name = log_name(self.number);
        for batch in batches(writes) {
            let bytes = frame::encode(&name, &batch)?;
            self.disk.append(&name, &bytes)?;
            // Before the next frame, since only the last one of a file may be torn.
            self.disk.sync(&name)?;
            self.bytes += bytes.len();
        }
        Ok(())
    }

    /// Size of the current log file, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a snapshot file. It takes effect when a [`Write::Snapshot`] that refers to it is
    /// committed.
    ///
    /// # Errors
    /// When the disk fails or is full.
    pub fn store_snapshot(&mut self, group: GroupId, snapshot: &Snapshot) -> Result<(), DiskError> {
        let name = snapshot_name(group, snapshot.index);
        let Some(data) = snapshot.data.loaded() else {
            return Err(corrupt(&name, 0, "the snapshot is not loaded"));
        };
        let Snapshot { index, term, membership, segments, .. } = snapshot;
        // The form of a whole snapshot, without a copy of its data.
        let head = (index, term, membership, segments, data.len() as u64);
        let head = frame::encode_payload(&name, 0, &head)?;
        let header = frame::encode_header(&name, &[&head, data])?;
        self.disk.replace_with_parts(&name, &[&header, &head, data])
    }

    /// Reads a snapshot file.
    ///
    /// # Errors
    /// When the file is missing or damaged, or the disk fails.
    pub fn load_snapshot(&self, group: GroupId, index: Index) -> Result<Snapshot, DiskError> {
        let name = snapshot_name(group, index);
        let reader = FrameReader::open(&self.disk, &name)?;
        match reader.ok_or_else(|| corrupt(&name, 0, "missing"))?.read(0)? {
            FrameRead::Frame(payload, _) => decode_payload(&name, 0, payload),
            FrameRead::End | FrameRead::Torn => Err(corrupt(&name, 0, "incomplete")),
        }
    }

    /// Removes the snapshot files of a group, except those with an index in `kept`.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn remove_snapshots_except(
        &mut self,
        group: GroupId,
        kept: &[Index],
    ) -> Result<(), DiskError> {
        let kept: Vec<String> = kept.iter().map(|index| snapshot_name(group, *index)).collect();
        self.remove_files_except(&format!("{SNAPSHOT_PREFIX}{group}-"), &kept)
    }

    /// Stores a complete segment durably.
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

    /// Reads up to `length` bytes of a segment, fewer at its end.
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

    /// Length of a segment in bytes, or `None` if it is not stored.
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

    /// Removes a segment.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn remove_segment(&mut self, group: GroupId, segment: SegmentId) -> Result<(), DiskError> {
        self.disk.remove(&segment_name(group, segment))
    }

    fn list_segments(&self) -> Result<BTreeSet<(GroupId, SegmentId)>, DiskError> {
        let names = self.disk.list()?;
        Ok(names.iter().filter_map(|name| parse_segment_name(name)).collect())
    }

    /// Replaces the log file with a new one that contains only `writes`, and removes the snapshots
    /// that are no longer referenced.
    ///
    /// # Errors
    /// When the disk fails or is full. If the new file cannot be written, the old one stays in
    /// use.
    pub fn rewrite(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let number = self.number + 1;
        let name = log_name(number);
        let mut file = Vec::new();
        for batch in batches(writes) {
            file.extend(frame::encode(&name, &batch)?);
        }
        self.disk.replace(&name, &file)?;
        self.disk.remove(&log_name(self.number))?;
        self.number = number;
        self.bytes = file.len();
        self.remove_old_snapshots(writes)
    }

    /// Returns the underlying disk, for example to simulate a crash.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The underlying disk, for example to inspect a simulated one.
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
        self.remove_files_except(SNAPSHOT_PREFIX, &in_use)
    }

    /// Removes the files whose names begin with `prefix`, except those in `kept`.
    fn remove_files_except(&mut self, prefix: &str, kept: &[String]) -> Result<(), DiskError> {
        for name in self.disk.list()? {
            if name.starts_with(prefix) && !kept.contains(&name) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }

    fn replay(&mut self) -> Result<BTreeMap<GroupId, ReplayedGroup>, DiskError> {
        let name = log_name(self.number);
        let mut groups = BTreeMap::new();
        let Some(mut reader) = FrameReader::open(&self.disk, &name)? else {
            return Ok(groups);
        };
        let mut offset = 0;
        loop {
            match reader.read(offset)? {
                FrameRead::End => break,
                FrameRead::Torn => {
                    emit!(Event::LogTailCut, "{name}: truncated torn write at byte {offset}");
                    break;
                }
                FrameRead::Frame(payload, next) => {
                    let writes: Vec<Write> = decode_payload(&name, offset, payload)?;
                    writes.into_iter().for_each(|write| replay_write(&mut groups, write));
                    offset = next;
                }
            }
        }
        if reader.length() > 0 {
            let checksum = reader.checksum();
            self.make_durable(&name, offset, checksum)?;
        }
        Ok(groups)
    }

    /// Stores the replayed content again. The previous process may have ended between an append
    /// and its sync, or because a sync failed, after which the kernel no longer writes that data.
    /// A replica acknowledges its replayed entries without another write.
    fn make_durable(
        &mut self,
        name: &str,
        replayed_bytes: usize,
        checksum: u32,
    ) -> Result<(), DiskError> {
        self.bytes = replayed_bytes;
        self.disk.store_again(name, replayed_bytes as u64, checksum)
    }

    fn read_identity(&self) -> Result<(Option<u32>, Vec<u32>), DiskError> {
        let Some(mut reader) = FrameReader::open(&self.disk, IDENTITY_FILE)? else {
            return Ok((None, Vec::new()));
        };
        let FrameRead::Frame(payload, _) = reader.read(0)? else {
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
        match index {
            Some(index) => self.load_snapshot(group, index),
            None => Ok(Snapshot {
                index: 0,
                term: 0,
                membership: Membership::default(),
                segments: BTreeSet::new(),
                data: Vec::new().into(),
            }),
        }
    }
}

fn replay_write(groups: &mut BTreeMap<GroupId, ReplayedGroup>, write: Write) {
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

fn newest_log_number(disk: &impl Disk) -> Result<u64, DiskError> {
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

fn parse_segment_name(name: &str) -> Option<(GroupId, SegmentId)> {
    let (group, segment) = name.strip_prefix(SEGMENT_PREFIX)?.split_once('-')?;
    Some((GroupId(group.parse().ok()?), SegmentId(segment.parse().ok()?)))
}

fn corrupt(file: &str, offset: usize, problem: &str) -> DiskError {
    DiskError::Corrupt { file: file.to_owned(), offset, problem: problem.to_owned() }
}

fn decode_payload<T: for<'a> Deserialize<'a>>(
    file: &str,
    offset: usize,
    payload: &[u8],
) -> Result<T, DiskError> {
    decode_stored(payload).map_err(|error| corrupt(file, offset, &error.to_string()))
}
