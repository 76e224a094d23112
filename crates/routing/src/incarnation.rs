//! Starts of replicas.
//!
//! A replica may start again under the identity that it had. It then holds nothing of before, and
//! runs nothing that was sent before: all that is known of a replica belongs to one start.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::replica::Replica;

/// Readings of a list after which a start that is not listed any more is forgotten: a minute with a
/// reading every 700 ms, far longer than a list lags.
const FORGOTTEN_AFTER: u64 = 100;

/// Replicas whose starts are kept at most: two lists of the longest that is read, a few MB. Beyond it
/// only those of the present list stay.
const MOST_KNOWN: usize = 32_768;

/// When a process started, in ms of Unix time by its own clock. It orders the starts of one replica
/// and is compared with nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(u64);

impl StartTime {
    /// The start at this many ms of Unix time.
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

/// One start of a replica. Shown as `identity@start`, and as the identity alone when the start is
/// not told: then identity alone counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// What the replica calls itself.
    pub identity: String,
    /// When it started, where that is told.
    pub start: Option<StartTime>,
}

impl Incarnation {
    /// Splits what [`Replica::id`] holds.
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

    /// What the replica with this [`Replica::id`] calls itself.
    pub fn identity_of(id: &str) -> &str {
        Self::split(id).0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { identity, start } = self;
        match start {
            Some(start) => write!(formatter, "{identity}@{start}"),
            // What follows the last `@` must not be taken for a start.
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

/// Whether an entry of a list counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStart {
    /// It is the newest start of its replica.
    Newest,
    /// A later start of the same replica is known.
    Superseded,
    /// Another entry under the same identity tells something else of the same start: it is not
    /// known which of them is the replica.
    Ambiguous,
}

/// What a list tells of starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartReview {
    /// Whether each entry counts, in the order of the list.
    pub entries: Vec<ListedStart>,
    /// Replicas that have started again under the identity that they had.
    pub restarted: usize,
}

impl StartReview {
    /// How many entries do not count.
    pub fn left_out(&self) -> usize {
        self.entries.iter().filter(|entry| **entry != ListedStart::Newest).count()
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    start: Option<StartTime>,
    /// Number of the reading that showed it last.
    reading: u64,
}

/// The newest start of each replica that lists have shown. An older start never replaces a newer
/// one, in whatever order lists arrive.
#[derive(Clone, Debug, Default)]
pub struct NewestStarts {
    reading: u64,
    known: HashMap<String, KnownStart>,
}

impl NewestStarts {
    /// Takes in a whole list, and judges each of its entries.
    pub fn take<'a>(&mut self, list: impl Iterator<Item = &'a Replica> + Clone) -> StartReview {
        self.reading += 1;
        let restarted = list.clone().filter(|replica| self.note(replica)).count();
        let kept = if self.known.len() > MOST_KNOWN { 1 } else { FORGOTTEN_AFTER };
        self.known.retain(|_, known| known.reading + kept > self.reading);
        let mut chosen: HashMap<&str, ChosenEntry<'a>> = HashMap::new();
        for replica in list.clone().filter(|replica| self.is_newest(replica)) {
            chosen
                .entry(replica.id.as_str())
                .or_insert_with(|| ChosenEntry::new(replica))
                .meet(replica);
        }
        let judge = |replica: &'a Replica| match chosen.get_mut(replica.id.as_str()) {
            None => ListedStart::Superseded,
            Some(chosen) => chosen.judge(),
        };
        StartReview { entries: list.map(judge).collect(), restarted }
    }

    /// Returns whether an earlier start was known.
    fn note(&mut self, replica: &Replica) -> bool {
        let (identity, start) = Incarnation::split(&replica.id);
        let fresh = KnownStart { start, reading: self.reading };
        match self.known.entry(identity.to_owned()) {
            Entry::Vacant(place) => {
                place.insert(fresh);
                false
            }
            Entry::Occupied(known) if known.get().start > start => false,
            Entry::Occupied(mut known) => known.insert(fresh).start < start,
        }
    }

    fn is_newest(&self, replica: &Replica) -> bool {
        let (identity, start) = Incarnation::split(&replica.id);
        self.known.get(identity).is_none_or(|known| known.start <= start)
    }
}

/// The entries of one start within a list.
struct ChosenEntry<'a> {
    first: &'a Replica,
    is_ambiguous: bool,
    is_taken: bool,
}

impl<'a> ChosenEntry<'a> {
    fn new(first: &'a Replica) -> Self {
        Self { first, is_ambiguous: false, is_taken: false }
    }

    fn meet(&mut self, other: &Replica) {
        self.is_ambiguous |= self.first != other;
    }

    /// The first of equal entries counts.
    fn judge(&mut self) -> ListedStart {
        if self.is_ambiguous {
            return ListedStart::Ambiguous;
        }
        if std::mem::replace(&mut self.is_taken, true) {
            return ListedStart::Superseded;
        }
        ListedStart::Newest
    }
}
