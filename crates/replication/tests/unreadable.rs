//! What a log holds and this build cannot read stops the replica. It went on without: an entry was
//! passed over, and a snapshot left the first, empty state behind, so that what had been
//! acknowledged was gone on that machine, and would have been gone for all once it led.

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupId, Node, NodeSettings, ReplicaId, StateMachine,
};
use calicohoist_types::Moment;

const GROUP: GroupId = GroupId(0);
const MACHINE: u32 = 1;
const ID: ReplicaId = ReplicaId { machine: MACHINE, disk: 0 };
/// A command of a later build.
const LATER: &[u8] = b"later";
/// Long enough for an election among one.
const A_WHILE: Moment = Moment::from_micros(10_000_000);

/// Reads what builds up to its own have written; the state is the number of commands.
struct Counter<const BUILD: u8>(u8);

impl<const BUILD: u8> StateMachine for Counter<BUILD> {
    /// Whether the command was read.
    type Output = bool;

    fn new(_group: GroupId) -> Self {
        Self(0)
    }

    fn apply(&mut self, command: &[u8]) -> bool {
        let is_read = BUILD > 1 || command != LATER;
        self.0 += u8::from(is_read);
        is_read
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

/// Leads, and applies what is in the log.
fn lead<const BUILD: u8>(node: &mut Node<Counter<BUILD>>, log: &mut Log) -> Result<(), DiskError> {
    node.tick(A_WHILE);
    for _ in 0..3 {
        node.flush(A_WHILE, log)?;
    }
    Ok(())
}

#[test]
fn an_entry_that_cannot_be_read_stops_the_replica_and_one_that_can_read_it_goes_on() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut node, mut log) = open::<1>(&folder);
    lead(&mut node, &mut log).expect("leads");
    node.propose(GROUP, LATER.to_vec(), 1).expect("leads");
    let stopped = node.flush(A_WHILE, &mut log).map(|_| ());
    let again = node.flush(A_WHILE, &mut log).map(|_| ());
    for ended in [stopped, again] {
        assert!(matches!(ended, Err(DiskError::Unreadable { what: "entry", .. })), "{ended:?}");
    }
    drop((node, log));
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("reads all");
    assert_eq!(newer.machine(GROUP).map(|state| state.0), Some(1));
}

#[test]
fn a_snapshot_that_cannot_be_read_stops_the_replica_and_stays_for_one_that_can() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("leads");
    for ticket in 1..=3 {
        newer.propose(GROUP, LATER.to_vec(), ticket).expect("leads");
        newer.flush(A_WHILE, &mut log).expect("applies");
    }
    drop((newer, log));
    let (mut older, mut log) = open::<1>(&folder);
    let ended = lead(&mut older, &mut log);
    assert!(matches!(ended, Err(DiskError::Unreadable { what: "snapshot", .. })), "{ended:?}");
    drop((older, log));
    let (mut newer, mut log) = open::<2>(&folder);
    lead(&mut newer, &mut log).expect("reads all");
    assert_eq!(newer.machine(GROUP).map(|state| state.0), Some(3));
}
