//! Turns and programs to which their callers return late in the retention.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::RngExt;

use crate::client::{Client, TurnEnd, World};
use crate::records::{Account, CompleteTurn, TURN_TOKENS};

/// Time before the end of the retention at which most turns are continued.
const CONTINUED_BEFORE: Duration = Duration::from_millis(300);
/// Probability that a turn is continued so late.
const LATEST_PROBABILITY: f64 = 0.7;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct KeptTurn {
    turn: CompleteTurn,
    /// Program that returns, in place of one that begins with the turn.
    account: Option<Account>,
}

/// Turns by the moment of their continuation.
#[derive(Default)]
pub struct KeptTurns {
    turns: Mutex<BTreeMap<(Instant, u64), KeptTurn>>,
    count: AtomicU64,
}

impl KeptTurns {
    /// Has a turn continued by another program, or by its own one if there is an account.
    pub fn keep(&self, turn: CompleteTurn, account: Option<Account>, client: &mut Client) {
        let latest = turn.retention.saturating_sub(CONTINUED_BEFORE);
        let age = match client.rng.random_bool(LATEST_PROBABILITY) {
            true => latest,
            false => latest.mul_f64(client.rng.random_range(0.2..1.0)),
        };
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let key = (turn.completed_at + age, number);
        self.turns.lock().insert(key, KeptTurn { turn, account });
    }

    fn take_due(&self) -> Option<(u64, KeptTurn)> {
        let mut turns = self.turns.lock();
        let entry = turns.first_entry().filter(|entry| entry.key().0 <= Instant::now())?;
        let number = entry.key().1;
        Some((number, entry.remove()))
    }
}

/// Continues the turns that are due until the run is over.
pub fn continue_kept_turns(world: &Arc<World>, mut client: Client) {
    while !world.is_over() {
        match world.kept_turns.take_due() {
            Some((number, kept)) => continue_turn(&mut client, number, &kept),
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn continue_turn(client: &mut Client, number: u64, kept: &KeptTurn) {
    let world = Arc::clone(&client.world);
    let KeptTurn { turn, account } = kept;
    if Instant::now() >= turn.expires_at() {
        return world.records.note_late_turn(|late| late.skipped += 1);
    }
    client.tenant = turn.tenant;
    let name = format!("keep{number}");
    let account =
        account.clone().unwrap_or(Account { program: name.clone(), budget: 2 * TURN_TOKENS });
    let routes = world.shape().retaining_routes();
    let route = routes[client.rng.random_range(0..routes.len())];
    let end = client.turn(route, &account, &name, Some(turn), turn.expires_at());
    world.records.note_late_turn(|late| match end {
        TurnEnd::Complete(_) => late.served += 1,
        TurnEnd::Spent => late.spent += 1,
        TurnEnd::Refused | TurnEnd::Unserved => late.unserved += 1,
    });
}
