//! A replica stops at an entry or snapshot that its build cannot decode. Continuing without it
//! would lose acknowledged commands.

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupId, Node, NodeSettings, ReplicaId, StateMachine,
};
use calicohoist_types::Moment;

const GROUP: GroupId = GroupId(0);
const MACHINE: u32 = 1;
const ID: ReplicaId = ReplicaId { machine: MACHINE, disk: 0 };
/// Command that only newer builds can decode.
const NEWER_COMMAND: &[u8] = b"later";
/// Later than the election timeout of a single-replica group.
const AFTER_ELECTION_TIMEOUT: Moment = Moment::from_micros(10_000_000);

/// Counts commands. Decodes data written by builds up to `BUILD`.
struct Counter<const BUILD: u8>(u8);

impl<const BUILD: u8> StateMachine for Counter<BUILD> {
    /// Whether the command was decoded.
    type Output = bool;

    fn new(_group: GroupId) -> Self {
        Self(0)
    }

    fn apply(&mut self, command: &[u8]) -> bool {
        let is_decoded = BUILD > 1 || command != NEWER_COMMAND;
        self.0 += u8::from(is_decoded);
        is_decoded
    }

    fn is_unreadable(output: &bool) -> bool {
        !output
    }

    fn snapshot(&self) -> Vec<u8> {
        vec![BUILD, self.0]
    }

    fn restore(&mut self, data: &[u8]) -> bool {
        match data {
            [build, count] if *build <= BUILD => {
                self.0 = *count;
                true
            }
            _ => false,
        }
    }
}

type Log = DiskLog<DirectoryDisk>;

fn open<const BUILD: u8>(folder: &tempfile::TempDir) -> (Node<Counter<BUILD>>, Log) {
    let disk = DirectoryDisk::open(folder.path()).expect("a disk");
    let (log, recovered) = DiskLog::open(disk).expect("a log");
    let settings = NodeSettings { entries_per_snapshot: 2, ..NodeSettings::default() };
    let node = Node::new(ID, settings, &[MACHINE], &[GROUP], recovered, Moment::ZERO);
    (node, log)
}

/// Becomes leader and applies the committed entries.
fn lead<const BUILD: u8>(node: &mut Node<Counter<BUILD>>, log: &mut Log) -> Result<(), DiskError> {
    node.tick(AFTER_ELECTION_TIMEOUT);
    for _ in 0..3 {
        node.flush(AFTER_ELECTION_TIMEOUT, log)?;
    }
    Ok(())
}

#[test]
fn undecodable_entry_stops_the_replica_until_upgraded() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut node, mut log) = open::<1>(&folder);
    lead(&mut node, &mut log).expect("leads");
    node.propose(GROUP, NEWER_COMMAND.to_vec(), 1).expect("leads");
    let first = node.flush(AFTER_ELECTION_TIMEOUT, &mut log).map(|_| ());
    let second = node.flush(AFTER_ELECTION_TIMEOUT, &mut log).map(|_| ());
    for result in [first, second] {
        assert!(matches!(result, Err(DiskError::Unreadable { what: "entry", .. })), "{result:?}");
    }
    drop((node, log));
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("decodes everything");
    assert_eq!(newer.machine(GROUP).map(|state| state.0), Some(1));
}

#[test]
fn undecodable_snapshot_stops_the_replica_and_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("leads");
    for ticket in 1..=3 {
        newer.propose(GROUP, NEWER_COMMAND.to_vec(), ticket).expect("leads");
        newer.flush(AFTER_ELECTION_TIMEOUT, &mut log).expect("applies");
    }
    drop((newer, log));
    let (mut older, mut log) = open::<1>(&folder);
    let result = lead(&mut older, &mut log);
    assert!(matches!(result, Err(DiskError::Unreadable { what: "snapshot", .. })), "{result:?}");
    drop((older, log));
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("decodes everything");
    assert_eq!(newer.machine(GROUP).map(|state| state.0), Some(3));
}
