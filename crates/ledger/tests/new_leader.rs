//! What a machine that has just won an election may decide.
//!
//! All machines of the ledger lost power while tenants pressed on their limits. Within 5 s of that
//! moment, before and after, a tenant had 94 requests run where its limit allows 93 with all that
//! may come on top. What leaders issue is noted in the log. The machine that won the next election
//! told its tasks that it leads 28 ms before it had applied its log: a leader knows what earlier
//! ones have committed only once an entry of its own is. Reservations that waited for a leader came
//! in between, the desk of limits began the term with what the last snapshot held, and
//! issued anew what had been issued since. The log lines that settled it, all of term 2:
//!
//! ```text
//! 11.2719 store-hala-a-1 BecameLeader
//! 11.2719 store-hala-a-1 PermitsInherited newest_note=827
//! 11.2999 store-hala-a-1 LeaderCaughtUp after_us=28472 newest_permit_note=947
//! ```

mod support;

use std::sync::mpsc;
use std::time::Duration;

use calicohoist_ledger::commands::{Command, ReserveTurn, RetiringOutcome};
use calicohoist_ledger::protocol::{Answer, Question};
use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_limiter::{IssuedPermits, LimitTolerance, PermitAnswer, PermitRequest};
use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use support::{Asker, OnCommand, Pair, SHORT};

/// Longer than any test.
const TOLERANCE: LimitTolerance =
    LimitTolerance { window: Duration::from_secs(600), overshoot: 0.0, slack: 0.0 };
/// Less the reserve for changes of leader, [`ISSUABLE`] requests in a window.
const LIMIT: RateLimit = RateLimit { per_second: 0.0, burst: 13.0 };
const ISSUABLE: u32 = 10;

fn permit() -> PermitRequest {
    PermitRequest { tenant: TenantId::new("t"), limit: LIMIT, configuration: 1, spare: 0 }
}

fn reservation(turn: &str) -> Question {
    let reserve = ReserveTurn {
        program: None,
        turn: turn.to_owned(),
        most_tokens: 1,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    Question::Reserve { reserve, placement: None, permit: Some(permit()) }
}

/// A machine that has lost power after a command was committed.
async fn restarted_after(command: Command) -> Pair {
    let mut pair = Pair::open(tempfile::tempdir().expect("a folder"), TOLERANCE);
    pair.follow().await;
    let (response, _) = pair.ask(Request::Change(command), OnCommand::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    Pair::open(pair.stop().await, TOLERANCE)
}

/// The limit of a tenant is used up.
fn note_all() -> Command {
    let issued = vec![IssuedPermits { tenant: TenantId::new("t"), count: ISSUABLE }];
    Command::NotePermits { issued, elapsed_ms: 0 }
}

#[tokio::test]
async fn a_limit_that_is_used_up_stays_so_when_all_lose_power() {
    let mut pair = restarted_after(note_all()).await;
    let mut asker = Asker::connect(pair.serve_gateways().await).await;
    pair.elect().await;
    asker.send(reservation("first")).await;
    tokio::time::sleep(SHORT).await;
    let first = pair.follow_while(asker.answer()).await;
    assert!(!runs(&first), "{first:?}");
    // Whatever was said to that one, a later one is refused for its limit, by whoever leads then: a
    // machine whose disk is slow gives the leadership away for a moment.
    let second = loop {
        asker.send(reservation("second")).await;
        match pair.follow_while(asker.answer()).await {
            Answer::NotLeader { .. } | Answer::Unavailable => {
                pair.follow_while(tokio::time::sleep(SHORT)).await;
            }
            answer => break answer,
        }
    };
    assert!(is_over_limit(&second), "{second:?}");
}

/// The same with the machines that must remain: the log names this one, one of three.
#[tokio::test]
async fn a_machine_that_is_needed_stays_when_all_lose_power() {
    let mut pair = restarted_after(note_all()).await;
    pair.elect().await;
    let handle = pair.handle.clone();
    let retire = handle.call(Request::Retire("store-1".to_owned()));
    let response = pair.follow_while(retire).await;
    let is_accepted = matches!(response, Response::Retiring(RetiringOutcome::Accepted));
    assert!(!is_accepted, "{response:?}");
}

/// The same when the commit is known, and not applied yet: both come in one batch.
#[tokio::test]
async fn a_machine_that_is_needed_stays_while_the_log_is_being_applied() {
    let mut pair = restarted_after(note_all()).await;
    pair.elect().await;
    let acknowledgement = pair.acknowledgement().await;
    // Holds the machine's thread until the batch is complete.
    let (release, released) = mpsc::channel::<()>();
    let hold = Box::new(move |_| {
        // An error, once the other end is dropped.
        let _ = released.recv();
    });
    pair.handle.submit(Request::Retire("unknown".to_owned()), hold);
    tokio::time::sleep(SHORT).await;
    pair.send(vec![acknowledgement]);
    let handle = pair.handle.clone();
    let retire =
        tokio::spawn(async move { handle.call(Request::Retire("store-1".to_owned())).await });
    tokio::time::sleep(SHORT).await;
    drop(release);
    let response = pair.follow_while(retire).await.expect("no panic");
    let is_accepted = matches!(response, Response::Retiring(RetiringOutcome::Accepted));
    assert!(!is_accepted, "{response:?}");
}

/// Whether the tenant's limit refuses a turn: before its reservation, or along with it while the
/// machine has not published yet that it leads.
fn is_over_limit(answer: &Answer) -> bool {
    let (Answer::Permit(permit) | Answer::Reserved { permit: Some(permit), .. }) = answer else {
        return false;
    };
    matches!(permit, PermitAnswer::OverLimit(_))
}

fn runs(answer: &Answer) -> bool {
    matches!(answer, Answer::Reserved { permit: Some(PermitAnswer::Granted(_)), .. })
}
