//! Deduplication of commands that are requested again while in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use calicohoist_ledger::server::replica::Response;
use calicohoist_ledger::server::replica::pending::{CommandDigest, PendingRequest, PendingTable};
use calicohoist_replication::Ticket;

fn waiter(answered: &Arc<AtomicUsize>) -> PendingRequest {
    let answered = Arc::clone(answered);
    PendingRequest::Change(Box::new(move |_| {
        answered.fetch_add(1, Ordering::SeqCst);
    }))
}

/// Returns a table with one command in flight and its first waiter.
fn with_one_command(answered: &Arc<AtomicUsize>) -> (PendingTable, CommandDigest, Ticket) {
    let mut table = PendingTable::default();
    let command = CommandDigest::of(b"reserve turn 1");
    let first = table.join(command, waiter(answered)).expect("not in flight yet");
    let ticket = table.ticket();
    table.add_command(ticket, command, first);
    (table, command, ticket)
}

#[test]
fn all_waiters_of_one_command_share_a_ticket_and_get_a_response() {
    let answered = Arc::new(AtomicUsize::new(0));
    let (mut table, command, ticket) = with_one_command(&answered);
    assert!(table.join(command, waiter(&answered)).is_none());
    assert!(table.join(command, waiter(&answered)).is_none());
    for waiter in table.take(ticket) {
        waiter.callback()(Response::Lost);
    }
    assert_eq!(answered.load(Ordering::SeqCst), 3);
}

#[test]
fn different_and_completed_commands_are_proposed() {
    let answered = Arc::new(AtomicUsize::new(0));
    let (mut table, command, ticket) = with_one_command(&answered);
    let other = CommandDigest::of(b"reserve turn 2");
    assert!(table.join(other, waiter(&answered)).is_some());
    assert_eq!(table.take(ticket).len(), 1);
    assert!(table.join(command, waiter(&answered)).is_some(), "the command has completed");
    assert!(table.take(ticket).is_empty());
}
