//! Incarnations of replicas: successive starts under one identity.
//!
//! A restarted replica has lost its cache and its running requests. State about a replica
//! therefore belongs to one incarnation.

use std::collections::HashMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use crate::replica::Replica;

/// Number of list readings after which an unlisted replica is forgotten: over a minute with a
/// reading every 700 ms, far longer than a list lags.
const FORGET_AFTER_READINGS: u64 = 100;

/// Time after which an unlisted replica is forgotten by who gets a list only when it changes. Shorter
/// than that of the regular readers, by more than a process stands still, so that a start that
/// they list again is used at once; far longer than a list lags.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Maximum number of tracked replicas, a few MB. Above it, only those in the current list are kept.
const MAX_TRACKED: usize = 32_768;

/// Start time of a replica's process, in ms of Unix time by its own clock. Only comparable between
/// starts of the same replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(u64);

impl StartTime {
    /// Creates a start time from ms of Unix time.
    pub fn from_unix_ms(ms: u64) -> Self {
        Self(ms)
    }
}

impl fmt::Display for StartTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for StartTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One start of a replica. Formatted as `identity@start`, or as the identity alone if the start
/// time is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Identity of the replica, which is the same after a restart.
    pub identity: String,
    /// Start time, if known.
    pub start: Option<StartTime>,
}

impl Incarnation {
    /// Splits a [`Replica::id`] into identity and start time.
    fn split(id: &str) -> (&str, Option<StartTime>) {
        match id.rsplit_once('@') {
            Some((identity, "")) => (identity, None),
            Some((identity, start)) => match start.parse() {
                Ok(start) => (identity, Some(start)),
                Err(_) => (id, None),
            },
            None => (id, None),
        }
    }

    /// Returns the identity in a [`Replica::id`].
    pub fn identity_of(id: &str) -> &str {
        Self::split(id).0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { identity, start } = self;
        match start {
            Some(start) => write!(formatter, "{identity}@{start}"),
            // A trailing `@` keeps an `@` in the identity from being parsed as the separator.
            None if identity.contains('@') => write!(formatter, "{identity}@"),
            None => identity.fmt(formatter),
        }
    }
}

impl From<&str> for Incarnation {
    fn from(id: &str) -> Self {
        let (identity, start) = Self::split(id);
        Self { identity: identity.to_owned(), start }
    }
}

/// Status of an entry in a replica list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    /// The newest known incarnation of its replica.
    Newest,
    /// A later incarnation of the same replica is known, or the entry is a duplicate.
    Superseded,
    /// Another entry has the same id but different properties, so neither can be trusted.
    Ambiguous,
}

/// Result of processing a replica list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncarnationUpdate {
    /// Status of each entry, in the order of the list.
    pub entries: Vec<EntryStatus>,
    /// Number of replicas that have restarted since the previous list.
    pub restarted: usize,
}

impl IncarnationUpdate {
    /// Returns the number of entries that must not be used.
    pub fn ignored(&self) -> usize {
        self.entries.iter().filter(|entry| **entry != EntryStatus::Newest).count()
    }
}

#[derive(Clone, Copy, Debug)]
struct TrackedStart {
    start: Option<StartTime>,
    /// Number of the last list that contained the replica.
    reading: u64,
    /// When a list replaced it that does not contain the replica, if that is known.
    left_at: Option<Instant>,
}

/// Tracks the newest start of each replica over successive lists. An older start never replaces a
/// newer one, regardless of the order in which lists arrive.
#[derive(Clone, Debug, Default)]
pub struct IncarnationTracker {
    reading: u64,
    tracked: HashMap<String, TrackedStart>,
}

impl IncarnationTracker {
    /// Processes a list that is in force until the next one, however long that is, as
    /// [`Self::update`].
    pub fn replace<'a>(
        &mut self,
        list: impl Iterator<Item = &'a Replica> + Clone,
        now: Instant,
    ) -> IncarnationUpdate {
        let is_kept = |tracked: &TrackedStart| {
            tracked.left_at.is_none_or(|left_at| left_at + FORGET_AFTER > now)
        };
        self.tracked.retain(|_, tracked| is_kept(tracked));
        let update = self.update(list);
        for tracked in self.tracked.values_mut() {
            if tracked.reading < self.reading {
                tracked.left_at.get_or_insert(now);
            }
        }
        update
    }

    /// Processes a complete list, and determines the status of each entry.
    pub fn update<'a>(
        &mut self,
        list: impl Iterator<Item = &'a Replica> + Clone,
    ) -> IncarnationUpdate {
        self.reading += 1;
        let restarted = list.clone().filter(|replica| self.record(replica)).count();
        let keep_readings =
            if self.tracked.len() > MAX_TRACKED { 1 } else { FORGET_AFTER_READINGS };
        self.tracked.retain(|_, tracked| tracked.reading + keep_readings > self.reading);
        let mut groups: HashMap<&str, EntryGroup<'a>> = HashMap::new();
        for replica in list.clone().filter(|replica| self.is_newest(replica)) {
            groups
                .entry(replica.id.as_str())
                .or_insert_with(|| EntryGroup::new(replica))
                .compare(replica);
        }
        let status = |replica: &'a Replica| match groups.get_mut(replica.id.as_str()) {
            None => EntryStatus::Superseded,
            Some(group) => group.next_status(),
        };
        IncarnationUpdate { entries: list.map(status).collect(), restarted }
    }

    /// Records the start of a replica. Returns whether it is a restart.
    fn record(&mut self, replica: &Replica) -> bool {
        let (identity, start) = Incarnation::split(&replica.id);
        let new_start = TrackedStart { start, reading: self.reading, left_at: None };
        // Most replicas are known, so the key is allocated only for new ones.
        let Some(known) = self.tracked.get_mut(identity) else {
            self.tracked.insert(identity.to_owned(), new_start);
            return false;
        };
        if known.start > start {
            return false;
        }
        std::mem::replace(known, new_start).start < start
    }

    fn is_newest(&self, replica: &Replica) -> bool {
        let (identity, start) = Incarnation::split(&replica.id);
        self.tracked.get(identity).is_none_or(|tracked| tracked.start <= start)
    }
}

/// Entries with the same id within a list.
struct EntryGroup<'a> {
    first: &'a Replica,
    is_ambiguous: bool,
    is_first_used: bool,
}

impl<'a> EntryGroup<'a> {
    fn new(first: &'a Replica) -> Self {
        Self { first, is_ambiguous: false, is_first_used: false }
    }

    fn compare(&mut self, other: &Replica) {
        self.is_ambiguous |= self.first != other;
    }

    /// Returns the status of the next entry. Only the first of equal entries is used.
    fn next_status(&mut self) -> EntryStatus {
        if self.is_ambiguous {
            return EntryStatus::Ambiguous;
        }
        if std::mem::replace(&mut self.is_first_used, true) {
            return EntryStatus::Superseded;
        }
        EntryStatus::Newest
    }
}
