//! Decisions of a newly elected leader before it has applied its log.
//!
//! A leader knows the entries committed by its predecessors only once an entry of its own term is
//! committed. Guards against decisions based on the state before that, such as permits issued
//! twice.

mod support;

use std::sync::mpsc;
use std::time::Duration;

use calicohoist_ledger::commands::{Command, ReserveTurn, RetiringOutcome};
use calicohoist_ledger::protocol::{LedgerRequest, LedgerResponse};
use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_limiter::{IssuedPermits, LimitTolerance, PermitAnswer, PermitRequest};
use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use support::{GatewayConnection, MachineWithPeer, PROCESSING_TIME, PeerReaction};

/// The window exceeds the duration of any test.
const TOLERANCE: LimitTolerance =
    LimitTolerance { window: Duration::from_secs(600), overshoot: 0.0, slack: 0.0 };
/// Allows [`ISSUABLE`] requests per window in addition to the reserve for leader changes.
const LIMIT: RateLimit = RateLimit { per_second: 0.0, burst: 13.0 };
const ISSUABLE: u32 = 10;

fn permit() -> PermitRequest {
    PermitRequest { tenant: TenantId::new("t"), limit: LIMIT, configuration: 1, spare: 0 }
}

fn reservation(turn: &str) -> LedgerRequest {
    let reserve = ReserveTurn {
        program: None,
        turn: turn.to_owned(),
        most_tokens: 1,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    LedgerRequest::Reserve { reserve, placement: None, permit: Some(permit()) }
}

/// Returns a machine that was restarted after `command` was committed.
async fn restarted_after(command: Command) -> MachineWithPeer {
    let mut machine =
        MachineWithPeer::open(tempfile::tempdir().expect("create temporary directory"), TOLERANCE);
    machine.run_peer_until_leader().await;
    let (response, _) = machine.request(Request::Change(command), PeerReaction::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    MachineWithPeer::open(machine.stop().await, TOLERANCE)
}

/// Returns a command that exhausts the limit of the tenant.
fn exhaust_limit() -> Command {
    let issued = vec![IssuedPermits { tenant: TenantId::new("t"), count: ISSUABLE }];
    Command::NotePermits { issued, elapsed_ms: 0 }
}

#[tokio::test]
async fn an_exhausted_limit_is_enforced_after_a_restart_of_all_machines() {
    let mut machine = restarted_after(exhaust_limit()).await;
    let mut gateway = GatewayConnection::connect(machine.serve_gateways().await).await;
    machine.elect_without_acknowledgement().await;
    gateway.send(reservation("first")).await;
    tokio::time::sleep(PROCESSING_TIME).await;
    let first = machine.run_peer_while(gateway.receive()).await;
    assert!(!is_permitted(&first), "{first:?}");
    // Later requests are refused by the rate limit; a slow disk may cause a change of leader
    // first.
    let second = loop {
        gateway.send(reservation("second")).await;
        match machine.run_peer_while(gateway.receive()).await {
            LedgerResponse::NotLeader { .. } | LedgerResponse::Unavailable => {
                machine.run_peer_while(tokio::time::sleep(PROCESSING_TIME)).await;
            }
            response => break response,
        }
    };
    assert!(is_over_limit(&second), "{second:?}");
}

/// The minimum number of members is enforced before the log has been applied.
#[tokio::test]
async fn a_required_member_is_not_retired_after_a_restart_of_all_machines() {
    let mut machine = restarted_after(exhaust_limit()).await;
    machine.elect_without_acknowledgement().await;
    let handle = machine.handle.clone();
    let retire = handle.call(Request::Retire("store-1".to_owned()));
    let response = machine.run_peer_while(retire).await;
    let is_accepted = matches!(response, Response::Retiring(RetiringOutcome::Accepted));
    assert!(!is_accepted, "{response:?}");
}

/// The entry is committed but not applied yet, because both requests arrive in one batch.
#[tokio::test]
async fn a_required_member_is_not_retired_while_the_log_is_being_applied() {
    let mut machine = restarted_after(exhaust_limit()).await;
    machine.elect_without_acknowledgement().await;
    let acknowledgement = machine.next_acknowledgement().await;
    // Blocks the replica thread until the batch is complete.
    let (release, released) = mpsc::channel::<()>();
    let block = Box::new(move |_| {
        // Returns an error once the sender is dropped.
        let _ = released.recv();
    });
    machine.handle.submit(Request::Retire("unknown".to_owned()), block);
    tokio::time::sleep(PROCESSING_TIME).await;
    machine.send(vec![acknowledgement]);
    let handle = machine.handle.clone();
    let retire =
        tokio::spawn(async move { handle.call(Request::Retire("store-1".to_owned())).await });
    tokio::time::sleep(PROCESSING_TIME).await;
    drop(release);
    let response = machine.run_peer_while(retire).await.expect("task panicked");
    let is_accepted = matches!(response, Response::Retiring(RetiringOutcome::Accepted));
    assert!(!is_accepted, "{response:?}");
}

/// Returns whether the rate limit refuses a turn, either before its reservation or, while the
/// machine has not published its leadership, along with it.
fn is_over_limit(response: &LedgerResponse) -> bool {
    let (LedgerResponse::Permit(permit) | LedgerResponse::Reserved { permit: Some(permit), .. }) =
        response
    else {
        return false;
    };
    matches!(permit, PermitAnswer::OverLimit(_))
}

fn is_permitted(response: &LedgerResponse) -> bool {
    matches!(response, LedgerResponse::Reserved { permit: Some(PermitAnswer::Granted(_)), .. })
}
