//! Loads of all engines, published at intervals, as changes for those who know
//! an earlier version.
//!
//! Every gateway hears of every engine, so the traffic grows with the product of
//! both: sent whole with each heartbeat it was the largest part of control.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{EngineId, Moment};

use crate::protocol::{EngineLoad, LoadsUpdate};

/// Time between published versions.
pub const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// A load, or its absence, with the version that brought it.
#[derive(Debug)]
struct Published {
    load: Option<EngineLoad>,
    version: u64,
}

/// The published loads.
#[derive(Debug, Default)]
pub struct LoadTable {
    engines: BTreeMap<EngineId, Published>,
    /// The first version of this leader; earlier ones are of another.
    first: u64,
    version: u64,
    next: Moment,
}

impl LoadTable {
    /// Starts anew when leadership was won.
    pub fn start(&mut self, now: Moment) {
        self.engines.clear();
        // Versions of different leaders must not be equal by chance.
        self.first = now.as_micros();
        self.version = self.first;
        self.next = now;
    }

    /// Whether it is time for a new version.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// Publishes what differs from the last version.
    pub fn publish<'a>(&mut self, now: Moment, current: impl Iterator<Item = &'a EngineLoad>) {
        self.next = now + PUBLISH_INTERVAL;
        let version = self.version + 1;
        let mut missing: Vec<EngineId> = Vec::new();
        let current: BTreeMap<&EngineId, &EngineLoad> =
            current.map(|load| (&load.engine, load)).collect();
        for (engine, known) in &self.engines {
            if known.load.is_some() && !current.contains_key(engine) {
                missing.push(engine.clone());
            }
        }
        let mut is_changed = !missing.is_empty();
        for engine in missing {
            self.engines.insert(engine, Published { load: None, version });
        }
        for (engine, load) in current {
            let known = self.engines.get(engine).and_then(|known| known.load.as_ref());
            if known != Some(load) {
                let published = Published { load: Some(load.clone()), version };
                self.engines.insert(engine.clone(), published);
                is_changed = true;
            }
        }
        if is_changed {
            self.version = version;
        }
    }

    /// What somebody who knows version `known` lacks.
    pub fn after(&self, known: u64) -> LoadsUpdate {
        let is_whole = known < self.first || known > self.version;
        let since = if is_whole { 0 } else { known };
        let mut update =
            LoadsUpdate { version: self.version, is_whole, changed: Vec::new(), gone: Vec::new() };
        for (engine, published) in self.engines.iter().filter(|(_, known)| known.version > since) {
            match &published.load {
                Some(load) => update.changed.push(load.clone()),
                None if !is_whole => update.gone.push(engine.clone()),
                None => {}
            }
        }
        update
    }
}
