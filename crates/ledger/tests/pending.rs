//! Commands that are asked for again while they are under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use calicohoist_ledger::server::replica::Response;
use calicohoist_ledger::server::replica::pending::{CommandDigest, PendingRequest, PendingTable};
use calicohoist_replication::Ticket;

fn asker(answered: &Arc<AtomicUsize>) -> PendingRequest {
    let answered = Arc::clone(answered);
    PendingRequest::Change(Box::new(move |_| {
        answered.fetch_add(1, Ordering::SeqCst);
    }))
}

/// A table with one command under way and its first asker.
fn with_one_command(answered: &Arc<AtomicUsize>) -> (PendingTable, CommandDigest, Ticket) {
    let mut table = PendingTable::default();
    let command = CommandDigest::of(b"reserve turn 1");
    let first = table.join(command, asker(answered)).expect("nobody asked before");
    let ticket = table.ticket();
    table.add_command(ticket, command, first);
    (table, command, ticket)
}

#[test]
fn the_same_command_has_one_ticket_and_all_askers_are_answered() {
    let answered = Arc::new(AtomicUsize::new(0));
    let (mut table, command, ticket) = with_one_command(&answered);
    assert!(table.join(command, asker(&answered)).is_none());
    assert!(table.join(command, asker(&answered)).is_none());
    for asker in table.take(ticket) {
        asker.callback()(Response::Lost);
    }
    assert_eq!(answered.load(Ordering::SeqCst), 3);
}

#[test]
fn other_commands_and_ended_ones_are_proposed() {
    let answered = Arc::new(AtomicUsize::new(0));
    let (mut table, command, ticket) = with_one_command(&answered);
    let other = CommandDigest::of(b"reserve turn 2");
    assert!(table.join(other, asker(&answered)).is_some());
    assert_eq!(table.take(ticket).len(), 1);
    assert!(table.join(command, asker(&answered)).is_some(), "it has ended");
    assert!(table.take(ticket).is_empty());
}
