//! Bytes that a ledger machine holds, counted by owner.

mod support;

use calicohoist_ledger::server::memory::{MachineMemory, MemoryCounter, MemoryOwner};
use calicohoist_replication::{Entry, EntryKind, Message};
use calicohoist_transport::{Frame, spawn_writer};
use support::{MachineWithPeer, TEST_TIMEOUT, block_replica, retain_turn};
use tokio::runtime::Builder;

const CONTENT_BYTES: usize = 1 << 20;

fn bytes_of(counter: &MemoryCounter, owner: MemoryOwner) -> usize {
    let counted = counter.count().into_iter().find(|(counted, _)| *counted == owner);
    counted.expect("every owner is counted").1
}

/// Returns entries that the leader of the peer sends.
fn append(bytes: usize) -> Message {
    let kind = EntryKind::Command(vec![0; bytes].into());
    let entries = vec![Entry { term: 1, index: 1, kind }];
    let (previous_index, previous_term) = (0, 0);
    Message::Append { term: 1, previous_index, previous_term, entries, commit: 0, round: 1 }
}

#[test]
fn inputs_that_wait_are_counted() {
    let machine = MachineWithPeer::start();
    let counter = MemoryCounter::new(MachineMemory::default(), machine.handle.clone());
    let release = block_replica(&machine);
    assert_eq!(bytes_of(&counter, MemoryOwner::Requests), 0);
    machine.handle.submit(retain_turn("turn", CONTENT_BYTES), Box::new(|_| {}));
    machine.send(vec![append(CONTENT_BYTES)]);
    assert!(bytes_of(&counter, MemoryOwner::Requests) >= CONTENT_BYTES);
    assert!(bytes_of(&counter, MemoryOwner::Messages) >= CONTENT_BYTES);
    drop(release);
}

#[test]
fn entries_of_the_log_are_counted() {
    let machine = MachineWithPeer::start();
    let counter = MemoryCounter::new(MachineMemory::default(), machine.handle.clone());
    machine.send(vec![append(CONTENT_BYTES)]);
    let started_at = std::time::Instant::now();
    while bytes_of(&counter, MemoryOwner::Log) < CONTENT_BYTES {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the entry is not counted");
        std::thread::yield_now();
    }
    assert_eq!(bytes_of(&counter, MemoryOwner::Messages), 0, "the message was handled");
}

#[test]
fn frames_queued_for_gateways_are_counted() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let machine = MachineWithPeer::start();
    let memory = MachineMemory::default();
    let counter = MemoryCounter::new(memory.clone(), machine.handle.clone());
    let (output, input) = tokio::io::duplex(64);
    runtime.block_on(async {
        let queue = spawn_writer(output, memory.queued_frames.clone());
        queue.send(Frame::encode(&vec![7_u8; CONTENT_BYTES]).expect("encodes"));
        assert!(bytes_of(&counter, MemoryOwner::QueuedFrames) >= CONTENT_BYTES);
    });
    drop(input);
}
