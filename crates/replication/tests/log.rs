//! The disk log against crashes and damage: a cut tail is repaired, any other
//! change of any bit is noticed, and the file does not grow without bound.

use std::time::Duration;

use calicohoist_replication::storage::Write;
use calicohoist_replication::{
    DirectoryDisk, Disk, DiskError, DiskLog, Entry, EntryKind, GroupId, HardState, Node,
    NodeSettings, ReplicaId, StateMachine,
};
use calicohoist_types::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tempfile::TempDir;

const GROUP: GroupId = GroupId(3);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        // The same damage on every run.
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn entry(index: u64, byte: u8) -> Entry {
    Entry { term: 1, index, kind: EntryKind::Command(vec![byte; 20].into()) }
}

/// A log of `count` batches of one entry each; returns its folder and file.
fn written(count: u64) -> (TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = DirectoryDisk::open(folder.path()).expect("a disk");
    let (mut log, _) = DiskLog::open(disk).expect("an empty log");
    log.commit(&[Write::HardState(GROUP, HardState { term: 1, vote: None })]).expect("a commit");
    for index in 1..=count {
        let append = Write::Append(GROUP, vec![entry(index, index as u8)]);
        log.commit(&[append]).expect("a commit");
    }
    drop(log);
    let files = std::fs::read_dir(folder.path()).expect("files");
    let newest = files
        .flatten()
        .map(|file| file.path())
        .max_by_key(|path| path.metadata().map_or(0, |metadata| metadata.len()));
    (folder, newest.expect("a log file"))
}

fn reopen(folder: &TempDir) -> Result<Vec<Entry>, DiskError> {
    let (_, recovered) = DiskLog::open(DirectoryDisk::open(folder.path())?)?;
    Ok(recovered.groups.get(&GROUP).map(|group| group.entries.clone()).unwrap_or_default())
}

proptest! {
    #![proptest_config(config())]

    /// The file system had room for the write, but only its first part was stored.
    #[test]
    fn a_last_write_that_ends_in_zeros_is_cut(count in 2u64..12, share in 0.0f64..1.0) {
        let (folder, file) = written(count);
        let whole = std::fs::read(&file).expect("the log");
        let before = {
            let (shorter, file) = written(count - 1);
            let length = std::fs::read(&file).expect("the log").len();
            drop(shorter);
            length
        };
        let last = whole.len() - before;
        let stored = before + ((last - 9) as f64 * share) as usize;
        let mut torn = whole;
        torn[stored..].fill(0);
        std::fs::write(&file, &torn).expect("damage");
        let entries = reopen(&folder).expect("a torn tail is no damage");
        prop_assert_eq!(entries.len() as u64, count - 1);
    }

    #[test]
    fn a_tail_cut_anywhere_leaves_a_prefix(count in 1u64..12, share in 0.0f64..1.0) {
        let (folder, file) = written(count);
        let bytes = std::fs::read(&file).expect("the log");
        let kept = (bytes.len() as f64 * share) as usize;
        std::fs::write(&file, &bytes[..kept]).expect("a cut log");
        let entries = reopen(&folder).expect("a cut tail is no damage");
        prop_assert!(entries.len() as u64 <= count);
        for (position, found) in entries.iter().enumerate() {
            let index = position as u64 + 1;
            prop_assert_eq!(found, &entry(index, index as u8));
        }
        // What was repaired can be written to and read again.
        prop_assert_eq!(reopen(&folder).expect("a repaired log"), entries);
    }

    #[test]
    fn a_flipped_bit_is_always_noticed(
        count in 1u64..12,
        share in 0.0f64..1.0,
        bit in 0u8..8,
    ) {
        let (folder, file) = written(count);
        let mut bytes = std::fs::read(&file).expect("the log");
        let position = ((bytes.len() - 1) as f64 * share) as usize;
        bytes[position] ^= 1 << bit;
        std::fs::write(&file, &bytes).expect("a damaged log");
        prop_assert!(reopen(&folder).is_err(), "byte {position} bit {bit} went unnoticed");
    }
}

#[test]
fn damage_before_the_tail_stops_the_replica() {
    let (folder, file) = written(10);
    let mut bytes = std::fs::read(&file).expect("the log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, &bytes).expect("a damaged log");
    assert!(reopen(&folder).is_err(), "damage in the middle must not be taken for a crash");
}

/// Counts how often a file is written as a whole.
struct CountingDisk {
    disk: DirectoryDisk,
    replaced: u32,
}

impl Disk for CountingDisk {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.disk.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.disk.sync(name)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.replaced += 1;
        self.disk.replace(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<(), DiskError> {
        self.disk.truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.disk.remove(name)
    }

    fn list(&self) -> Result<Vec<String>, DiskError> {
        self.disk.list()
    }
}

#[derive(Default)]
struct Nothing;

impl StateMachine for Nothing {
    type Output = ();

    fn new(_group: GroupId) -> Self {
        Self
    }

    fn apply(&mut self, _command: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _data: &[u8]) -> bool {
        true
    }
}

#[test]
fn entries_without_a_snapshot_do_not_make_every_flush_rewrite_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = DirectoryDisk::open(folder.path()).expect("a disk");
    let (mut log, recovered) =
        DiskLog::open(CountingDisk { disk, replaced: 0 }).expect("an empty log");
    let settings = NodeSettings {
        entries_per_snapshot: u64::MAX,
        log_rewrite_bytes: 2_000,
        ..NodeSettings::default()
    };
    let id = ReplicaId { machine: 1, disk: 0 };
    let mut now = Moment::from_micros(10_000_000);
    let mut node = Node::<Nothing>::new(id, settings, &[1], &[GROUP], recovered, now);
    for ticket in 0..400 {
        now = now + Duration::from_millis(10);
        node.tick(now);
        let _ = node.propose(GROUP, vec![0; 100], ticket);
        node.flush(now, &mut log).expect("a flush");
    }
    assert!(log.bytes() > 20_000, "the entries must be kept");
    let rewrites = log.disk_mut().replaced;
    assert!(rewrites < 10, "{rewrites} rewrites for 400 entries");
}
