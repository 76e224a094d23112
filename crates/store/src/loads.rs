//! Loads of all engines, published at a fixed interval.
//!
//! Every gateway receives the load of every engine. To limit control traffic, gateways
//! receive only the changes since the version they know.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{EngineId, Moment};

use crate::protocol::{EngineLoad, LoadsUpdate};

/// Interval at which new versions are published.
pub const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// A published load, or `None` for a removed engine, with the version of its last change.
#[derive(Debug)]
struct PublishedLoad {
    load: Option<EngineLoad>,
    version: u64,
}

/// Versioned table of published engine loads.
#[derive(Debug, Default)]
pub struct LoadTable {
    engines: BTreeMap<EngineId, PublishedLoad>,
    /// First version of this leader; lower versions stem from earlier leaders.
    first_version: u64,
    version: u64,
    next_publish_at: Moment,
}

impl LoadTable {
    /// Resets the table after this machine was elected leader.
    pub fn reset(&mut self, now: Moment) {
        self.engines.clear();
        // Starts at the current time, so that versions of different leaders do not collide.
        self.first_version = now.as_micros();
        self.version = self.first_version;
        self.next_publish_at = now;
    }

    /// Returns whether the next version is due.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next_publish_at
    }

    /// Publishes the current loads as a new version if any load has changed.
    pub fn publish<'a>(&mut self, now: Moment, current: impl Iterator<Item = &'a EngineLoad>) {
        self.next_publish_at = now + PUBLISH_INTERVAL;
        let version = self.version + 1;
        let mut removed: Vec<EngineId> = Vec::new();
        let current: BTreeMap<&EngineId, &EngineLoad> =
            current.map(|load| (&load.engine, load)).collect();
        for (engine, published) in &self.engines {
            if published.load.is_some() && !current.contains_key(engine) {
                removed.push(engine.clone());
            }
        }
        let mut is_changed = !removed.is_empty();
        for engine in removed {
            self.engines.insert(engine, PublishedLoad { load: None, version });
        }
        for (engine, load) in current {
            let published = self.engines.get(engine).and_then(|published| published.load.as_ref());
            if published != Some(load) {
                let published = PublishedLoad { load: Some(load.clone()), version };
                self.engines.insert(engine.clone(), published);
                is_changed = true;
            }
        }
        if is_changed {
            self.version = version;
        }
    }

    /// Returns an update for a receiver at version `known_version`. It contains all loads if that
    /// version is not from this leader.
    pub fn changes_since(&self, known_version: u64) -> LoadsUpdate {
        let is_whole = known_version < self.first_version || known_version > self.version;
        let since = if is_whole { 0 } else { known_version };
        let mut update =
            LoadsUpdate { version: self.version, is_whole, changed: Vec::new(), gone: Vec::new() };
        for (engine, published) in self.engines.iter().filter(|(_, entry)| entry.version > since) {
            match &published.load {
                Some(load) => update.changed.push(load.clone()),
                None if !is_whole => update.gone.push(engine.clone()),
                None => {}
            }
        }
        update
    }
}
