//! Memory that a replica takes at its start, in relation to what its disk holds.

mod support;

use std::collections::BTreeSet;
use std::path::Path;

use calicohoist_replication::storage::Write;
use calicohoist_replication::{Entry, EntryKind, Membership, SegmentId, Snapshot};
use parking_lot::{Mutex, MutexGuard};
use peak_alloc::PeakAlloc;
use support::{GROUP, Replica, open};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;
/// Held by the test that measures.
static MEASUREMENT: Mutex<()> = Mutex::new(());

const COMMAND_BYTES: usize = 4 << 20;
const COMMANDS: u64 = 8;
/// For everything but commands and states.
const BASE_BYTES: usize = 2 << 20;

fn measure() -> MutexGuard<'static, ()> {
    MEASUREMENT.lock()
}

/// Returns the highest size of the memory that `action` takes, in bytes, and its result.
fn peak_of<T>(action: impl FnOnce() -> T) -> (usize, T) {
    let before = ALLOCATOR.current_usage();
    ALLOCATOR.reset_peak_usage();
    let result = action();
    (ALLOCATOR.peak_usage().saturating_sub(before), result)
}

fn append(index: u64) -> Write {
    let kind = EntryKind::Command(vec![index as u8; COMMAND_BYTES].into());
    Write::Append(GROUP, vec![Entry { term: 1, index, kind }])
}

/// Writes the commands to a log, each as a frame of its own.
fn write_log(folder: &Path) {
    let (mut log, _) = open(folder);
    for index in 1..=COMMANDS {
        log.commit(&[append(index)]).expect("a commit");
    }
}

#[test]
fn log_is_read_one_frame_at_a_time() {
    let _measurement = measure();
    let folder = tempfile::tempdir().expect("a folder");
    write_log(folder.path());
    let (peak, (_, recovered)) = peak_of(|| open(folder.path()));
    assert_eq!(recovered.groups[&GROUP].entries.len() as u64, COMMANDS);
    // The entries, and the frame of the one that is being read.
    let target = (COMMANDS as usize + 1) * COMMAND_BYTES + BASE_BYTES;
    assert!(peak <= target, "{peak} bytes for {COMMANDS} commands of {COMMAND_BYTES}");
}

fn assert_at_most(what: &str, bytes: usize, copies: usize) {
    let target = copies * COMMAND_BYTES + BASE_BYTES;
    assert!(bytes <= target, "{what}: {bytes} bytes for a state of {COMMAND_BYTES}");
}

#[test]
fn snapshot_is_stored_without_a_copy() {
    let _measurement = measure();
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path());
    let snapshot = Snapshot {
        index: 300,
        term: 2,
        membership: Membership::default(),
        segments: BTreeSet::from([SegmentId(1), SegmentId(400)]),
        data: vec![7; COMMAND_BYTES].into(),
    };
    let (peak, stored) = peak_of(|| log.store_snapshot(GROUP, &snapshot));
    stored.expect("a stored snapshot");
    assert_at_most("peak of storing a snapshot", peak, 0);
    assert_eq!(log.load_snapshot(GROUP, 300).expect("a snapshot"), snapshot);
}

#[test]
fn state_is_held_once_beside_its_snapshot_on_the_disk() {
    let _measurement = measure();
    let folder = tempfile::tempdir().expect("a folder");
    let before = ALLOCATOR.current_usage();
    let mut replica = Replica::start(folder.path(), COMMAND_BYTES);
    replica.wait_for_leadership();
    (1..=2).for_each(|byte| replica.propose(vec![byte; COMMAND_BYTES]));
    let held = ALLOCATOR.current_usage() - before;
    // The state, its snapshot and the frame that is written; the command is no longer needed.
    let (peak, ()) = peak_of(|| replica.propose(vec![3; COMMAND_BYTES]));
    println!("held {held}, peak of a command {peak}");
    assert_at_most("held", held, 1);
    assert_at_most("peak of a command", held + peak, 3);
    drop(replica);
    let (peak, replica) = peak_of(|| Replica::start(folder.path(), COMMAND_BYTES));
    let held = ALLOCATOR.current_usage() - before;
    println!("held after a start {held}, peak {peak}");
    assert_eq!(replica.state(), [3; COMMAND_BYTES]);
    assert_at_most("held after a start", held, 1);
    assert_at_most("peak of a start", peak, 2);
}
