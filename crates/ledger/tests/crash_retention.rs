//! How long crashes, their clearing and the accounts of sends are known, in virtual time, over changes of
//! leader, pauses and late notices.

mod properties;

use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{
    Command, Reservation, SettleTurn, charge_crash, clear_commands, reserve_send, store_crash,
};
use calicohoist_ledger::protocol::{CrashNotice, TermVersion};
use calicohoist_ledger::server::crashes::CrashBoard;
use calicohoist_ledger::server::replica::CLOCK_INTERVAL;
use calicohoist_ledger::server::replica::clock::{LeaderClock, MAX_COUNTED_GAP};
use calicohoist_ledger::{LedgerState, Output};
use calicohoist_quarantine::prelude::*;
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_types::Moment;
use calicohoist_wire::encode;
use proptest::prelude::*;

const MACHINES: usize = 2;
const GATEWAYS: usize = 2;
const REQUESTS: u8 = 2;
/// Longest pause of a process, or delay of a message.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// What happens in a run.
#[derive(Clone, Debug)]
enum Step {
    /// Nothing for this time, in ms; the leader does not tick.
    Wait { ms: u64 },
    /// The leader ticks for this time, in ms.
    Lead { ms: u64 },
    /// Another machine is elected.
    Elect { machine: usize },
    /// A gateway watches. What it is sent arrives after `delay_ms`.
    Watch { gateway: usize, delay_ms: u64 },
    /// A replica crashes under a request of a gateway, which may not know whether the request had
    /// reached it.
    Crash { gateway: usize, request: u8, is_confirmed: bool },
    /// A gateway gets enough answers to a request to clear its crashes.
    Answer { gateway: usize, request: u8 },
    /// A gateway starts again.
    Restart { gateway: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let pause_ms = 0..MAX_PAUSE.as_millis() as u64;
    prop_oneof![
        3 => pause_ms.clone().prop_map(|ms| Step::Wait { ms }),
        4 => (0..60_000u64).prop_map(|ms| Step::Lead { ms }),
        2 => (0..MACHINES).prop_map(|machine| Step::Elect { machine }),
        6 => (0..GATEWAYS, prop_oneof![Just(0), pause_ms])
            .prop_map(|(gateway, delay_ms)| Step::Watch { gateway, delay_ms }),
        3 => (0..GATEWAYS, 0..REQUESTS, proptest::bool::weighted(0.8)).prop_map(
            |(gateway, request, is_confirmed)| Step::Crash { gateway, request, is_confirmed }
        ),
        3 => (0..GATEWAYS, 0..REQUESTS)
            .prop_map(|(gateway, request)| Step::Answer { gateway, request }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::Restart { gateway }),
    ]
}

fn fingerprint(request: u8) -> RequestFingerprint {
    let content = RequestContent {
        tenant: None,
        program: None,
        previous_turn: None,
        method: "GET",
        host: "desk.example",
        path: "/a",
        body: &[request],
    };
    content.fingerprint()
}

#[derive(Default)]
struct Gateway {
    crashes: CrashTable,
    seen: TermVersion,
    /// Notices under way, and when they arrive.
    arriving: Option<(Instant, TermVersion, Vec<CrashNotice>)>,
}

impl Gateway {
    fn receive(&mut self, now: Instant) {
        let Some((_, mark, notices)) = self.arriving.take_if(|(at, ..)| *at <= now) else {
            return;
        };
        for notice in notices {
            let CrashNotice { request, replica, left_ms } = &notice;
            if notice.is_cleared() {
                self.crashes.clear(*request, replica, CRASH_RETENTION, now);
            } else {
                let left = Duration::from_millis(u64::from(*left_ms));
                self.crashes.record_stored(*request, replica, left, now);
            }
        }
        self.seen = mark;
    }
}

/// A crash that counts until a moment at least, unless it is cleared.
#[derive(Clone, Debug)]
struct Promise {
    record: CrashRecord,
    until: Instant,
    /// The gateway that has recorded the crash, until it starts again.
    known_to: Option<usize>,
}

/// Gateways and ledger machines whose log is applied at once.
struct Fleet {
    started_at: Instant,
    now: Instant,
    state: LedgerState,
    clocks: [LeaderClock; MACHINES],
    boards: [CrashBoard; MACHINES],
    leader: usize,
    term: u64,
    gateways: [Gateway; GATEWAYS],
    promises: Vec<Promise>,
    crash_count: usize,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            started_at: now,
            now,
            state: LedgerState::new(GroupId(0)),
            clocks: Default::default(),
            boards: Default::default(),
            leader: 0,
            term: 1,
            gateways: Default::default(),
            promises: Vec::new(),
            crash_count: 0,
        }
    }

    fn moment(&self) -> Moment {
        Moment::ZERO + (self.now - self.started_at)
    }

    fn apply(&mut self, mut command: Command) {
        let now = self.moment();
        let clock = &mut self.clocks[self.leader];
        clock.follow(Some(self.term), now);
        clock.date(&mut command, now);
        let (crashes, cleared) = (self.state.crashes().next(), self.state.cleared_crashes().next());
        self.state.apply(&encode(&command).expect("encode"));
        for board in &self.boards {
            let added = self.state.crashes().since(crashes);
            added.for_each(|record| board.add(record.clone(), self.now));
            let cleared = self.state.cleared_crashes().since(cleared);
            cleared.for_each(|record| board.clear(record.clone(), self.now));
        }
    }

    fn settle(&mut self, command: SettleTurn) {
        self.apply(Command::Settle(command));
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for gateway in &mut self.gateways {
            gateway.receive(self.now);
            gateway.crashes.expire(self.now);
        }
    }

    fn lead(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let now = self.moment();
            let clock = &mut self.clocks[self.leader];
            clock.follow(Some(self.term), now);
            if let Some(step) = clock.next_step(now) {
                self.apply(step);
            }
            self.advance(MAX_COUNTED_GAP.min(until - self.now));
        }
    }

    fn watch(&mut self, gateway: usize, delay: Duration) {
        let board = &self.boards[self.leader];
        let watching = &mut self.gateways[gateway];
        if watching.arriving.is_none() && board.has_changes(self.term, watching.seen, self.now) {
            let (mark, notices) = board.changes_since(self.term, watching.seen, self.now);
            watching.arriving = Some((self.now + delay, mark, notices));
        }
        watching.receive(self.now);
    }

    fn crash(&mut self, gateway: usize, request: u8, is_confirmed: bool) {
        let replica = format!("r{}", self.crash_count);
        let record = CrashRecord { tenant: None, request: fingerprint(request), replica };
        let table = &mut self.gateways[gateway].crashes;
        if table.quarantine(&record.request, self.now).is_some() {
            return;
        }
        self.crash_count += 1;
        if !is_confirmed {
            return table.record_unconfirmed(record, CRASH_RETENTION, self.now);
        }
        table.record(record.request, &record.replica, CRASH_RETENTION, self.now);
        self.settle(charge_crash(&record));
        self.settle(store_crash(&record));
        let until = self.now + CRASH_RETENTION;
        self.promises.push(Promise { record, until, known_to: Some(gateway) });
    }

    fn answer(&mut self, gateway: usize, request: u8) {
        let request = fingerprint(request);
        for _ in 0..HARMLESS_ANSWERS {
            let table = &mut self.gateways[gateway].crashes;
            for replica in table.record_answered(&request, "answering", self.now) {
                let record = CrashRecord { tenant: None, request, replica };
                self.promises.retain(|promise| promise.record != record);
                clear_commands(&record).into_iter().for_each(|command| self.settle(command));
            }
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Wait { ms } => self.advance(Duration::from_millis(ms)),
            Step::Lead { ms } => self.lead(Duration::from_millis(ms)),
            Step::Elect { machine } => {
                self.leader = machine;
                self.term += 1;
            }
            Step::Watch { gateway, delay_ms } => {
                self.watch(gateway, Duration::from_millis(delay_ms));
            }
            Step::Crash { gateway, request, is_confirmed } => {
                self.crash(gateway, request, is_confirmed);
            }
            Step::Answer { gateway, request } => self.answer(gateway, request),
            Step::Restart { gateway } => {
                self.gateways[gateway] = Gateway::default();
                for promise in &mut self.promises {
                    promise.known_to.take_if(|known_to| *known_to == gateway);
                }
            }
        }
    }

    /// Returns how many sends of a request the ledger permits to a gateway at the same time.
    fn permitted_sends(&self, gateway: usize, request: u8) -> usize {
        let request = fingerprint(request);
        let cleared = self.gateways[gateway].crashes.cleared(&request, self.now);
        let mut state = LedgerState::new(GroupId(0));
        assert!(state.restore(&self.state.snapshot()));
        let sends = (0..2 * MAX_CRASHES + cleared).map(|number| number.to_string());
        let granted = sends.filter(|send| {
            let command = Command::Reserve(reserve_send(&request, send, cleared));
            let output = state.apply(&encode(&command).expect("encode"));
            output == Output::Reservation(Reservation::Granted)
        });
        granted.count()
    }

    fn check(&mut self) {
        let now = self.now;
        self.promises.retain(|promise| promise.until > now);
        for request in 0..REQUESTS {
            let counting: Vec<&Promise> = self
                .promises
                .iter()
                .filter(|promise| promise.record.request == fingerprint(request))
                .collect();
            for (number, gateway) in self.gateways.iter().enumerate() {
                let is_known = |promise: &&&Promise| promise.known_to == Some(number);
                let known = counting.iter().filter(is_known).count();
                let crashes = gateway.crashes.crashes(&fingerprint(request), now);
                assert!(crashes >= known.min(MAX_CRASHES), "gateway {number}: {counting:?}");
                let max = MAX_CRASHES.saturating_sub(counting.len());
                let permitted = self.permitted_sends(number, request);
                assert!(permitted <= max, "{permitted} sends by gateway {number}: {counting:?}");
            }
            for board in &self.boards {
                let (_, notices) = board.changes_since(self.term, TermVersion::default(), now);
                for promise in &counting {
                    let is_same = |notice: &CrashNotice| {
                        notice.request == promise.record.request
                            && notice.replica == promise.record.replica
                            && !notice.is_cleared()
                    };
                    assert!(notices.iter().any(is_same), "not sent to gateways: {promise:?}");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(properties::fixed(1_000, 98))]

    #[test]
    fn crashes_and_their_accounts_are_kept_for_their_time_and_not_for_ever(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.play(step);
            fleet.check();
        }
        // Time that no leader has counted is added to what the ledger keeps.
        let run = fleet.now - fleet.started_at;
        fleet.lead(run + MAX_PAUSE + 4 * CRASH_RETENTION + 2 * CLOCK_INTERVAL);
        prop_assert!(fleet.gateways.iter().all(|gateway| gateway.crashes.is_empty()));
        prop_assert!(fleet.state.turns().is_empty());
        prop_assert!(fleet.state.accounts().is_empty());
        for board in &fleet.boards {
            prop_assert!(!board.has_changes(0, TermVersion::default(), fleet.now));
        }
    }
}

/// A new leader sends all records again, and gateways then know of a cleared crash for longer.
#[test]
fn account_counts_a_cleared_crash_that_a_new_leader_sends_again() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        fleet.play(Step::Crash { gateway: 0, request: 0, is_confirmed: true });
        fleet.play(Step::Answer { gateway: 0, request: 0 });
    }
    fleet.lead(CRASH_RETENTION - Duration::from_secs(1));
    fleet.play(Step::Elect { machine: 1 });
    fleet.play(Step::Watch { gateway: 1, delay_ms: 0 });
    for _ in 0..20 {
        fleet.lead(Duration::from_secs(10));
        fleet.check();
    }
}
