//! Programs end and are forgotten by measured time, whatever the time of day does.

use std::time::Duration;

use calicohoist_replication::{DirectoryDisk, DiskLog, NodeSettings, ReplicaId};
use calicohoist_store::commands::program::{NewProgram, ProgramCommand, RETENTION_MILLIS};
use calicohoist_store::state::programs::ProgramState;
use calicohoist_store::{Command, GroupMap, GroupState, StoreRequest, StoreService};
use calicohoist_types::{Moment, ProgramId, RequestId, TenantId};
use tempfile::TempDir;

/// Time of day at which the store starts, in Unix milliseconds.
const START: u64 = 1_800_000_000_000;
const MINUTE_MILLIS: i64 = 60_000;
const TICK: Duration = Duration::from_millis(50);

/// A store of one machine.
struct Store {
    service: StoreService,
    log: DiskLog<DirectoryDisk>,
    folder: TempDir,
    now: Moment,
    /// Difference of the time of day from measured time.
    step_millis: i64,
}

impl Store {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (service, log) = open(&folder, Moment::ZERO);
        let mut store = Self { service, log, folder, now: Moment::ZERO, step_millis: 0 };
        store.run(Duration::from_secs(3));
        store
    }

    fn restart(mut self) -> Self {
        (self.service, self.log) = open(&self.folder, self.now);
        self.run(Duration::from_secs(3));
        self
    }

    fn unix_millis(&self) -> u64 {
        (START + self.now.as_millis()).saturating_add_signed(self.step_millis)
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + TICK;
            self.service.tick(self.now, self.unix_millis());
            self.service.flush(self.now, &mut self.log).expect("a disk");
        }
    }

    fn send(&mut self, command: ProgramCommand) {
        let group = GroupMap::new(1).group_of(&program());
        let request = StoreRequest::Command(group, Command::Program(command));
        self.service.request(self.now, self.unix_millis(), 1, 1, request);
        self.run(TICK);
    }

    fn create(&mut self, lifetime_millis: Option<u64>) {
        self.send(ProgramCommand::Create(NewProgram {
            id: program(),
            parent: None,
            request: RequestId::new("r"),
            tenant: tenant(),
            budget_tokens: 100,
            max_calls: 10,
            lifetime_millis,
        }));
        assert_eq!(self.state(), Some(ProgramState::Active));
    }

    fn state(&self) -> Option<ProgramState> {
        let group = GroupMap::new(1).group_of(&program());
        match self.service.node().machine(group) {
            Some(GroupState::Programs(shard)) => shard.get(&program()).map(|record| record.state),
            _ => None,
        }
    }
}

fn open(folder: &TempDir, now: Moment) -> (StoreService, DiskLog<DirectoryDisk>) {
    let disk = DirectoryDisk::open(folder.path()).expect("a disk");
    let (log, recovered) = DiskLog::open(disk).expect("a log");
    let id = ReplicaId { machine: 1, disk: 0 };
    let settings = NodeSettings::default();
    (StoreService::new(id, settings, &[1], GroupMap::new(1), recovered, now), log)
}

fn program() -> ProgramId {
    ProgramId::new("p")
}

fn tenant() -> TenantId {
    TenantId::new("t")
}

#[test]
fn ended_program_is_kept_although_the_time_of_day_steps_forward() {
    let mut store = Store::new();
    store.create(None);
    store.send(ProgramCommand::End { program: program(), tenant: tenant() });
    store.step_millis = 11 * MINUTE_MILLIS;
    store.run(Duration::from_secs(10));
    assert_eq!(store.state(), Some(ProgramState::Ended));
    store.run(Duration::from_millis(RETENTION_MILLIS));
    assert_eq!(store.state(), None);
}

#[test]
fn ended_program_is_forgotten_although_the_time_of_day_steps_back() {
    let mut store = Store::new();
    store.create(None);
    store.send(ProgramCommand::End { program: program(), tenant: tenant() });
    store.step_millis = -60 * MINUTE_MILLIS;
    store.run(Duration::from_millis(RETENTION_MILLIS) + Duration::from_secs(10));
    assert_eq!(store.state(), None);
}

#[test]
fn program_is_not_cancelled_before_its_lifetime_ends_after_a_restart_at_another_time_of_day() {
    let mut store = Store::new();
    store.create(Some(60_000));
    store.run(Duration::from_secs(20));
    store.step_millis = 60 * MINUTE_MILLIS;
    let mut store = store.restart();
    store.run(Duration::from_secs(30));
    assert_eq!(store.state(), Some(ProgramState::Active));
    store.run(Duration::from_secs(20));
    assert_eq!(store.state(), Some(ProgramState::Cancelled));
}
