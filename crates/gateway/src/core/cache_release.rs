//! Release of the cache memory that ended programs hold on engines.
//!
//! The record of a program lists every engine that may cache its history. When
//! the program ends, the store creates release requests, which the owner of each
//! engine executes and confirms. A periodic sweep compares the engine's cache
//! listing with the records to find cached programs that are no longer active.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_store::StoreReply;
use calicohoist_store::broken_rules::{Rule, is_broken};
use calicohoist_store::commands::program::ProgramCommand;
use calicohoist_store::queries::program::{ProgramAnswer, ProgramQuery};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{EngineId, Moment, ProgramId};

use super::message::Action;
use super::{Gateway, PendingRequest, program_answer};

/// Time between queries for new release requests.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a release request is sent again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of release requests per engine and query.
const FETCH_LIMIT: usize = 64;

/// State of polling, sweeps and pending release requests.
#[derive(Debug, Default)]
pub(crate) struct CacheReleaseState {
    next_poll: Moment,
    next_sweep: Moment,
    /// Releases that were sent, with the earliest time to send them again.
    sent_releases: BTreeMap<(EngineId, ProgramId), Moment>,
}

impl Gateway {
    pub(super) fn run_cache_release(&mut self, now: Moment) {
        let engines: Vec<EngineId> = self.owner.engines().cloned().collect();
        if engines.is_empty() || !self.view.has_lease(now) {
            return;
        }
        if now >= self.cache_release.next_poll {
            self.cache_release.next_poll = now + POLL_INTERVAL;
            self.cache_release.sent_releases.retain(|_, retry_at| *retry_at > now);
            self.query_releases(now, &engines);
        }
        if now >= self.cache_release.next_sweep {
            self.cache_release.next_sweep = now + SWEEP_INTERVAL;
            for engine in engines {
                if let Some(spec) = self.view.engine(&engine) {
                    let address = spec.address;
                    self.actions.push(Action::ListCache { engine, address });
                }
            }
        }
    }

    fn query_releases(&mut self, now: Moment, engines: &[EngineId]) {
        for group in self.groups.program_groups() {
            let query = ProgramQuery::Releases { engines: engines.to_vec(), limit: FETCH_LIMIT };
            self.send_query(now, PendingRequest::Releases, group, query);
        }
    }

    pub(super) fn on_releases(&mut self, now: Moment, reply: Option<StoreReply>) {
        if let Some(ProgramAnswer::Releases(releases)) = program_answer(reply) {
            for (engine, program) in releases {
                self.release(now, engine, program);
            }
        }
    }

    fn release(&mut self, now: Moment, engine: EngineId, program: ProgramId) {
        let Some(address) = self.view.engine(&engine).map(|spec| spec.address) else {
            return;
        };
        let release = (engine.clone(), program.clone());
        if self.cache_release.sent_releases.contains_key(&release) {
            return;
        }
        self.cache_release.sent_releases.insert(release, now + RETRY_DELAY);
        self.actions.push(Action::ReleaseCache { engine, address, program });
    }

    pub(super) fn on_cache_released(
        &mut self,
        now: Moment,
        engine: EngineId,
        program: ProgramId,
        confirmed: bool,
    ) {
        if !confirmed {
            emit!(Event::CacheReleaseFailed, "{program} on {engine}");
            return;
        }
        emit!(Event::CacheReleased, "{program} on {engine}");
        let command = ProgramCommand::Released { engine, program: program.clone() };
        self.send_command(now, PendingRequest::Ignore, &program, command);
    }

    pub(super) fn on_cache_listing(
        &mut self,
        now: Moment,
        engine: EngineId,
        programs: Vec<ProgramId>,
    ) {
        let mut by_group: BTreeMap<_, Vec<ProgramId>> = BTreeMap::new();
        for program in programs {
            let group = self.groups.group_of(&program);
            by_group.entry(group).or_default().push(program);
        }
        for (group, programs) in by_group {
            let pending = PendingRequest::NotActive(engine.clone());
            self.send_query(now, pending, group, ProgramQuery::NotActive(programs));
        }
    }

    pub(super) fn on_not_active(
        &mut self,
        now: Moment,
        engine: &EngineId,
        reply: Option<StoreReply>,
    ) {
        if let Some(ProgramAnswer::Programs(programs)) = program_answer(reply) {
            let orphans = programs.into_iter().filter(|_| !is_broken(Rule::ReleaseMemory));
            for program in orphans {
                emit!(Event::CacheOrphanFound, "{program} on {engine}");
                self.release(now, engine.clone(), program);
            }
        }
    }
}
