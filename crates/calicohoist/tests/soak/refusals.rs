//! Judgement of retained turns that are refused again and again while first turns are served.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

/// Refused tries in a row from which a continued turn is judged.
pub const MIN_REFUSALS: usize = 5;
/// First turns that must have been tried meanwhile.
pub const MIN_FIRST_TURNS: usize = 10;
/// Share of these that must have reached a replica.
const SERVED_SHARE: (usize, usize) = (9, 10);

/// A try of a turn that was answered.
#[derive(Clone, Debug)]
pub struct TurnTry {
    pub id: String,
    /// Turn, which all of its tries share.
    pub turn: String,
    pub is_continued: bool,
    pub status: u16,
    pub from: Instant,
    pub until: Instant,
}

/// Tries, and those that reached a replica.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    reached: usize,
    tried: usize,
}

impl Share {
    fn add(&mut self, has_reached: bool) {
        self.tried += 1;
        self.reached += usize::from(has_reached);
    }

    fn is_served(self) -> bool {
        let (numerator, denominator) = SERVED_SHARE;
        self.tried >= MIN_FIRST_TURNS && self.reached * denominator >= self.tried * numerator
    }
}

/// What was found about the turns of a run.
#[derive(Debug, Default)]
pub struct RefusalFindings {
    first: Share,
    continued: Share,
    /// Number of tries by status, of continued turns.
    statuses: BTreeMap<u16, usize>,
    /// Refused tries in a row of one turn, at most.
    longest: usize,
    stuck: Vec<String>,
}

impl RefusalFindings {
    pub fn violations(&self) -> Vec<String> {
        self.stuck.clone()
    }
}

impl fmt::Display for RefusalFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { first, continued, statuses, longest, stuck } = self;
        write!(
            formatter,
            "{}/{} tries of first turns reached a replica, {}/{} of continued ones ({statuses:?}), \
             at most {longest} refused in a row, {} turns refused while first ones were served",
            first.reached,
            first.tried,
            continued.reached,
            continued.tried,
            stuck.len()
        )
    }
}

/// Judges the answered tries of a run; `has_reached` tells whether one reached a replica.
pub fn judge_refusals(tries: &[TurnTry], has_reached: impl Fn(&str) -> bool) -> RefusalFindings {
    let mut findings = RefusalFindings::default();
    let mut turns: BTreeMap<&str, Vec<&TurnTry>> = BTreeMap::new();
    let mut first_turns: Vec<(Instant, bool)> = Vec::new();
    for each in tries {
        let reached = has_reached(&each.id);
        if each.is_continued {
            findings.continued.add(reached);
            *findings.statuses.entry(each.status).or_default() += 1;
            turns.entry(&each.turn).or_default().push(each);
        } else {
            findings.first.add(reached);
            first_turns.push((each.from, reached));
        }
    }
    for tries in turns.values() {
        for refused in tries.split(|each| has_reached(&each.id)) {
            findings.longest = findings.longest.max(refused.len());
            if let Some(violation) = judge_refused(refused, &first_turns) {
                findings.stuck.push(violation);
            }
        }
    }
    findings
}

/// Judges tries in a row that reached no replica. Any [`MIN_REFUSALS`] of them may be a violation.
fn judge_refused(refused: &[&TurnTry], first_turns: &[(Instant, bool)]) -> Option<String> {
    refused.windows(MIN_REFUSALS).find_map(|window| {
        let (begin, end) = (window.first()?, window.last()?);
        let mut share = Share::default();
        first_turns
            .iter()
            .filter(|(from, _)| (begin.from..=end.until).contains(from))
            .for_each(|(_, has_reached)| share.add(*has_reached));
        let statuses: Vec<u16> = window.iter().map(|each| each.status).collect();
        share.is_served().then(|| {
            let Share { reached, tried } = share;
            format!(
                "{} was refused from {} on ({statuses:?}), while {reached} of {tried} first turns \
                 reached a replica",
                begin.turn, begin.id
            )
        })
    })
}
