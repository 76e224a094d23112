//! The replicated state machine.

mod accounts;
mod document;
mod machines;
mod permits;
mod recent;
mod turns;
mod zones;

pub use accounts::Accounts;
pub use document::ConfigurationDocument;
pub use machines::Machines;
pub use permits::{PERMIT_RETENTION_MS, PermitBatch, RecentPermits};
pub use recent::RecentItems;
pub use turns::{HistoryPiece, StoredBytes, Turns};

use std::borrow::Cow;
use std::collections::BTreeSet;

use calicohoist_quarantine::CrashRecord;
use calicohoist_replication::{GroupId, SealedSegment, SegmentId, StateMachine};
use calicohoist_routing::DrainedZones;
use calicohoist_scheduler::TurnRun;
use calicohoist_wire::{decode_stored, encode};
use serde::{Deserialize, Serialize};

use crate::commands::{
    Command, Output, Reservation, ReserveTurn, SettleTurn, cleared_key_prefix, crash_key_prefix,
    find_cleared_crash, find_crash,
};

/// Maximum number of runs buffered for the reader.
const MAX_RECENT_RUNS: usize = 1_024;
/// Maximum number of crash records buffered for the reader. Covers all records of a snapshot.
const MAX_RECENT_CRASHES: usize = 4_096;

/// Recently finished runs. They tell which prompts the replicas have cached.
pub type RecentRuns = RecentItems<TurnRun, MAX_RECENT_RUNS>;
/// Recently stored crash records.
pub type RecentCrashes = RecentItems<CrashRecord, MAX_RECENT_CRASHES>;

/// The configuration with the highest version, as applied here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedConfiguration {
    /// Version of the document; 0 before the first configuration.
    pub version: u64,
    /// The document as sent by the operator.
    pub document: ConfigurationDocument,
}

/// The replicated state of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    /// Logical clock advanced by leaders, in ms. It never runs ahead of real time.
    clock_ms: u64,
    configuration: VersionedConfiguration,
    accounts: Accounts,
    turns: Turns,
    machines: Machines,
    permits: RecentPermits,
    drained: DrainedZones,
    /// Recently finished runs.
    #[serde(skip)]
    runs: RecentRuns,
    /// Recently stored crash records.
    #[serde(skip)]
    crashes: RecentCrashes,
    /// Recently cleared crashes.
    #[serde(skip)]
    cleared: RecentCrashes,
    /// Sealed segments that have not been written to disk yet.
    #[serde(skip)]
    sealed: Vec<SealedSegment>,
}

/// The snapshot format used before drained zones were added.
///
/// It is still written while no zone has been drained, so that machines running an older build can
/// restore it: an older build that cannot decode a snapshot continues with an empty state.
#[derive(Serialize, Deserialize)]
struct SnapshotBeforeDrains<'a> {
    clock_ms: u64,
    configuration: Cow<'a, VersionedConfiguration>,
    accounts: Cow<'a, Accounts>,
    turns: Cow<'a, Turns>,
    machines: Cow<'a, Machines>,
    permits: Cow<'a, RecentPermits>,
}

impl<'a> SnapshotBeforeDrains<'a> {
    /// Creates a snapshot, or returns `None` if a zone has ever been drained.
    fn from_state(state: &'a LedgerState) -> Option<Self> {
        let LedgerState { configuration, accounts, turns, machines, permits, .. } = state;
        (state.drained == DrainedZones::none()).then(|| Self {
            clock_ms: state.clock_ms,
            configuration: Cow::Borrowed(configuration),
            accounts: Cow::Borrowed(accounts),
            turns: Cow::Borrowed(turns),
            machines: Cow::Borrowed(machines),
            permits: Cow::Borrowed(permits),
        })
    }
}

impl From<SnapshotBeforeDrains<'_>> for LedgerState {
    fn from(snapshot: SnapshotBeforeDrains<'_>) -> Self {
        Self {
            clock_ms: snapshot.clock_ms,
            configuration: snapshot.configuration.into_owned(),
            accounts: snapshot.accounts.into_owned(),
            turns: snapshot.turns.into_owned(),
            machines: snapshot.machines.into_owned(),
            permits: snapshot.permits.into_owned(),
            ..Self::default()
        }
    }
}

/// The snapshot format used before issued permits were recorded.
#[derive(Deserialize)]
struct SnapshotBeforePermits {
    clock_ms: u64,
    configuration: VersionedConfiguration,
    accounts: Accounts,
    turns: Turns,
    machines: Machines,
}

impl From<SnapshotBeforePermits> for LedgerState {
    fn from(snapshot: SnapshotBeforePermits) -> Self {
        let SnapshotBeforePermits { clock_ms, configuration, accounts, turns, machines } = snapshot;
        Self { clock_ms, configuration, accounts, turns, machines, ..Self::default() }
    }
}

impl LedgerState {
    /// Returns the current configuration.
    pub fn configuration(&self) -> &VersionedConfiguration {
        &self.configuration
    }

    /// Returns the retained turns.
    pub fn turns(&self) -> &Turns {
        &self.turns
    }

    /// Returns the accounts of all programs.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns whether applying a reservation would reject it for its budget, now and later.
    pub fn will_reject(&self, reserve: &ReserveTurn) -> bool {
        self.can_continue(reserve) && self.accounts.will_reject(reserve)
    }

    /// Returns whether a reservation will be rejected for its budget, and need not be applied to keep the
    /// account. The clock of the state lags by `lag_ms`.
    pub fn has_spent_budget(&self, reserve: &ReserveTurn, lag_ms: u64) -> bool {
        let now_ms = self.clock_ms.saturating_add(lag_ms);
        self.can_continue(reserve) && self.accounts.is_spent_for(reserve, now_ms)
    }

    fn can_continue(&self, reserve: &ReserveTurn) -> bool {
        reserve.previous.as_ref().is_none_or(|previous| self.turns.contains(previous))
    }

    /// Returns the ledger machines.
    pub fn machines(&self) -> &Machines {
        &self.machines
    }

    /// Returns the recently issued permits.
    pub fn permits(&self) -> &RecentPermits {
        &self.permits
    }

    /// Returns the drained zones, whose replicas receive no new requests.
    pub fn drained(&self) -> &DrainedZones {
        &self.drained
    }

    /// Returns the recently finished runs.
    pub fn runs(&self) -> &RecentRuns {
        &self.runs
    }

    /// Returns the recently stored crash records.
    pub fn crashes(&self) -> &RecentCrashes {
        &self.crashes
    }

    /// Returns the recently cleared crashes. A crash stays cleared, whatever is stored later.
    pub fn cleared_crashes(&self) -> &RecentCrashes {
        &self.cleared
    }

    fn execute(&mut self, command: Command) -> Output {
        match command {
            Command::PutConfiguration { version, document } => {
                if version > self.configuration.version {
                    let document = document.into();
                    self.configuration = VersionedConfiguration { version, document };
                }
                Output::Configuration { version: self.configuration.version }
            }
            Command::Reserve(reserve) => Output::Reservation(self.reserve(reserve)),
            Command::Settle(settle) => {
                self.settle(settle);
                Output::Done
            }
            Command::Advance { elapsed_ms } => {
                self.clock_ms += elapsed_ms;
                self.accounts.expire(self.clock_ms);
                self.turns.expire(self.clock_ms);
                Output::Done
            }
            Command::Enroll { name, machine } => {
                self.machines.register(name, machine);
                Output::Done
            }
            Command::Retire { name, remaining, must_remain } => {
                Output::Retiring(self.machines.retire(&name, remaining >= must_remain))
            }
            Command::Seal => {
                self.sealed.extend(self.turns.seal());
                Output::Done
            }
            Command::NotePermits { issued, elapsed_ms } => {
                self.permits.add(issued, elapsed_ms);
                Output::Done
            }
            Command::DrainZone { zone } => {
                zones::drain(&mut self.drained, zone);
                Output::DrainedZones { version: self.drained.version }
            }
            Command::RestoreZone { zone } => {
                zones::restore(&mut self.drained, &zone);
                Output::DrainedZones { version: self.drained.version }
            }
        }
    }

    fn reserve(&mut self, reserve: ReserveTurn) -> Reservation {
        if !self.can_continue(&reserve) {
            return Reservation::NoSuchTurn;
        }
        if let Some(previous) = &reserve.previous {
            self.turns.keep_until(previous, self.clock_ms + reserve.retention_ms);
        }
        self.accounts.reserve(&reserve, self.clock_ms)
    }

    fn settle(&mut self, settle: SettleTurn) {
        self.accounts.settle(&settle, self.clock_ms);
        if let Some(run) = settle.run {
            self.runs.push(*run);
        }
        if let Some(retained) = settle.retained {
            if let Some(record) = find_crash(&settle.turn) {
                self.crashes.push(record);
            }
            if let Some(record) = find_cleared_crash(&settle.turn) {
                self.cleared.push(record);
            }
            let until_ms = self.clock_ms + settle.retention_ms;
            self.turns.insert(settle.turn, retained, until_ms);
        }
    }
}

impl StateMachine for LedgerState {
    type Output = Output;

    fn new(_group: GroupId) -> Self {
        Self::default()
    }

    fn apply(&mut self, command: &[u8]) -> Output {
        decode_stored(command).map_or(Output::Unreadable, |command| self.execute(command))
    }

    fn is_unreadable(output: &Output) -> bool {
        *output == Output::Unreadable
    }

    fn snapshot(&self) -> Vec<u8> {
        let encoded = match SnapshotBeforeDrains::from_state(self) {
            Some(snapshot) => encode(&snapshot),
            None => encode(self),
        };
        encoded.unwrap_or_default()
    }

    fn segments(&self) -> BTreeSet<SegmentId> {
        self.turns.segments()
    }

    fn take_sealed(&mut self) -> Vec<SealedSegment> {
        std::mem::take(&mut self.sealed)
    }

    fn restore(&mut self, data: &[u8]) -> bool {
        let before_drains = || decode_stored::<SnapshotBeforeDrains>(data).map(Self::from);
        let before_permits = || decode_stored::<SnapshotBeforePermits>(data).map(Self::from);
        match decode_stored(data).or_else(|_| before_drains()).or_else(|_| before_permits()) {
            Ok(mut state) => {
                state.configuration.document = state.configuration.document.packed();
                let runs = std::mem::take(&mut self.runs);
                let mut crashes = std::mem::take(&mut self.crashes);
                let mut cleared = std::mem::take(&mut self.cleared);
                let prefix = crash_key_prefix();
                let stored = state.turns.ids_with_prefix(&prefix);
                stored.filter_map(find_crash).for_each(|record| crashes.push(record));
                let prefix = cleared_key_prefix();
                let stored = state.turns.ids_with_prefix(&prefix);
                stored.filter_map(find_cleared_crash).for_each(|record| cleared.push(record));
                *self = Self { runs, crashes, cleared, ..state };
                true
            }
            Err(_) => false,
        }
    }
}
