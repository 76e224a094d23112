//! Memory of a ledger machine whose replica thread is held up or whose entries are not committed,
//! while turns with long inputs and long entries of a leader arrive.

mod support;

use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_replication::{Entry, EntryKind, Message};
use parking_lot::{Mutex, MutexGuard};
use peak_alloc::PeakAlloc;
use support::{MachineWithPeer, TEST_TIMEOUT, block_replica, retain_turn};
use tokio::runtime::Builder;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;
/// Held by the test that measures.
static MEASUREMENT: Mutex<()> = Mutex::new(());

const LONG_INPUT_BYTES: usize = 1 << 20;
const LONG_INPUTS: usize = 100;
/// Much less than the long inputs together, and than the memory of the smallest machines.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Leaves room for what is encoded and written to the disk.
const MAX_PEAK_BYTES: usize = 64 << 20;

fn measure() -> MutexGuard<'static, ()> {
    MEASUREMENT.lock()
}

/// Submits long turns; returns the receiver of the responses.
fn submit_long_turns(machine: &MachineWithPeer) -> Receiver<Response> {
    let (sender, responses) = channel();
    for number in 0..LONG_INPUTS {
        let sender = sender.clone();
        // The test may have ended.
        let respond = move |response| drop(sender.send(response));
        machine
            .handle
            .submit(retain_turn(&format!("turn-{number}"), LONG_INPUT_BYTES), Box::new(respond));
    }
    responses
}

fn collect(responses: &Receiver<Response>) -> Vec<Response> {
    let next = |_| responses.recv_timeout(TEST_TIMEOUT).expect("a response");
    (0..LONG_INPUTS).map(next).collect()
}

#[test]
fn long_turns_that_wait_for_the_disk_are_bounded() {
    let _measurement = measure();
    let machine = MachineWithPeer::start();
    let release = block_replica(&machine);
    let before = ALLOCATOR.current_usage();
    let responses = submit_long_turns(&machine);
    let held = ALLOCATOR.current_usage().saturating_sub(before);
    assert!(held <= MAX_HELD_BYTES, "{} MiB held", held >> 20);
    drop(release);
    let is_refused = |response: &Response| matches!(response, Response::Overdue);
    assert!(collect(&responses).iter().any(|response| !is_refused(response)), "all are refused");
    let (sender, later) = channel();
    let respond = move |response| drop(sender.send(response));
    machine
        .handle
        .submit(retain_turn(&format!("turn-{LONG_INPUTS}"), LONG_INPUT_BYTES), Box::new(respond));
    let response = later.recv_timeout(TEST_TIMEOUT).expect("a response");
    assert!(!is_refused(&response), "memory is not given back");
}

#[test]
fn short_requests_are_taken_while_long_turns_wait() {
    let _measurement = measure();
    let machine = MachineWithPeer::start();
    let release = block_replica(&machine);
    let responses = submit_long_turns(&machine);
    let (sender, confirmed) = channel();
    let respond = move |response| drop(sender.send(response));
    machine.handle.submit(Request::ConfirmLeadership, Box::new(respond));
    assert!(confirmed.try_recv().is_err(), "a request without content is refused");
    drop(release);
    confirmed.recv_timeout(TEST_TIMEOUT).expect("a response");
    collect(&responses);
}

#[test]
fn entries_that_wait_for_the_disk_are_bounded() {
    let _measurement = measure();
    let machine = MachineWithPeer::start();
    let release = block_replica(&machine);
    let before = ALLOCATOR.current_usage();
    for index in 1..=LONG_INPUTS as u64 {
        let kind = EntryKind::Command(vec![0; LONG_INPUT_BYTES].into());
        machine.send(vec![Message::Append {
            term: 1,
            previous_index: index - 1,
            previous_term: 1,
            entries: vec![Entry { term: 1, index, kind }],
            commit: 0,
            round: 1,
        }]);
    }
    let held = ALLOCATOR.current_usage().saturating_sub(before);
    assert!(held <= MAX_HELD_BYTES, "{} MiB held", held >> 20);
    drop(release);
}

/// The peer has voted for the machine, and acknowledges nothing any more.
#[test]
fn long_turns_that_are_not_committed_are_bounded() {
    let _measurement = measure();
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut machine = MachineWithPeer::start();
    runtime.block_on(machine.run_peer_until_leader());
    ALLOCATOR.reset_peak_usage();
    let before = ALLOCATOR.current_usage();
    let (sender, responses) = channel();
    for number in 0..LONG_INPUTS {
        let sender = sender.clone();
        let respond = move |response| drop(sender.send(response));
        machine
            .handle
            .submit(retain_turn(&format!("turn-{number}"), LONG_INPUT_BYTES), Box::new(respond));
        // The replica thread takes one after the other.
        std::thread::sleep(Duration::from_millis(1));
    }
    let responses = collect(&responses);
    let peak = ALLOCATOR.peak_usage().saturating_sub(before);
    assert!(peak <= MAX_PEAK_BYTES, "{} MiB at the peak", peak >> 20);
    assert!(
        responses.iter().any(|response| matches!(response, Response::Lost)),
        "none was proposed"
    );
}
