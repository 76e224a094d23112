//! How much work the programs under way still bring, and whether one more may begin.
//!
//! A program brings more than its first turn: further turns after pauses, and sub-agents
//! side by side. [`ProgramLoad`] follows each program from its first turn to its last and
//! learns for each kind how many turns run at a time on the average, how long it lasts,
//! and how much slower than alone its turns may be for it to be over in time. The sum of
//! what is expected of all programs is the load that the engines are to carry soon, which
//! their present turns don't show.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldhash::HashMap;

use crate::speed::EngineSpeed;

/// Programs of a kind that were seen to their end before anything is said of it.
const LEAST_PROGRAMS: u32 = 20;
/// Weight of a program that ended in the means of its kind.
const PROGRAM_WEIGHT: f64 = 0.05;
/// Weight of a pause in the mean of its kind.
const PAUSE_WEIGHT: f64 = 0.02;
/// A program without a turn is taken to be over after so many mean pauses: tools differ
/// much in how long they take.
const OVER_AFTER_PAUSES: f64 = 4.0;
/// Bounds of that time, for kinds that hardly pause and for those whose callers think.
const OVER_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Share of the slowdown that programs bear which engines are loaded to: the rest is for
/// programs that are longer than others of their kind, and for waiting before the first turn.
const TARGET_SHARE: f64 = 0.8;
/// Whatever the slowdown, this share of a replica's slots is used.
const LEAST_SHARE: f64 = 0.25;
/// Turns expected at a replica beyond its slots, as a share of these. Programs pause at
/// different times, so that without a few too many some slots are always empty.
const QUEUED_SHARE: f64 = 0.5;
/// Factor on the turns of a program: in a push most programs have begun lately and have more
/// ahead than the mean over their life. In the replay of a push (1.8 times the load, 4.1 times
/// the urgent kind, three seeds) 0.928 of what was worth serving was served; with a factor of
/// 1 and a [`QUEUED_SHARE`] of 0.15 it was 0.904.
const AHEAD_FACTOR: f64 = 1.3;
/// Time between two searches for programs that are over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Programs that are expected to behave alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgramKind {
    /// The service that runs their turns.
    pub service: String,
    /// Rank of their route; 0 is the most urgent.
    pub priority: u8,
}

/// A program with turns under way, or paused between two.
#[derive(Clone, Debug)]
struct LiveProgram {
    kind: ProgramKind,
    began: Instant,
    /// When it should be over.
    finish: Option<Instant>,
    /// Turns that run.
    running: u32,
    /// When that number changed last.
    changed: Instant,
    /// Time with at least one turn.
    busy: Duration,
    /// Sum of the time of all turns.
    work: Duration,
    /// Whether it was seen from its first turn.
    is_whole: bool,
}

impl LiveProgram {
    /// Counts the time since the number of its turns changed last.
    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.changed);
        if self.running > 0 {
            self.busy += passed;
            self.work += passed * self.running;
        }
        self.changed = now;
    }

    fn is_over(&self, now: Instant, after: Duration) -> bool {
        self.running == 0 && self.changed + after <= now
    }
}

/// What is learned of a kind: means over programs that ended, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct KindMeans {
    programs: u32,
    /// From the first turn to the end of the last.
    lasts_ms: f64,
    /// Time with at least one turn.
    busy_ms: f64,
    /// Sum of the time of all turns.
    work_ms: f64,
    /// Pause between two turns.
    pause_ms: f64,
    /// Time of `busy_ms` that turns would need alone.
    alone_ms: f64,
    /// From the first turn until it should be over; of programs that say so.
    allowed_ms: Option<f64>,
    /// Programs under way or taken to be so.
    live: u32,
    /// Turns that run.
    running: u32,
}

impl KindMeans {
    fn learn(&mut self, program: &LiveProgram, slowdown: f64) {
        let lasted = program.changed.saturating_duration_since(program.began);
        let weight = PROGRAM_WEIGHT.max(1.0 / f64::from(self.programs + 1));
        let blend = |mean: &mut f64, sample: f64| *mean += (sample - *mean) * weight;
        blend(&mut self.lasts_ms, millis(lasted));
        blend(&mut self.busy_ms, millis(program.busy));
        blend(&mut self.work_ms, millis(program.work));
        blend(&mut self.alone_ms, millis(program.busy) / slowdown);
        if let Some(finish) = program.finish {
            let allowed = millis(finish.saturating_duration_since(program.began));
            blend(self.allowed_ms.get_or_insert(allowed), allowed);
        }
        self.programs = self.programs.saturating_add(1);
    }

    fn note_pause(&mut self, pause: Duration) {
        self.pause_ms += (millis(pause) - self.pause_ms) * PAUSE_WEIGHT;
    }

    fn is_known(&self) -> bool {
        self.programs >= LEAST_PROGRAMS
    }

    /// How long without a turn a program is taken to be under way.
    fn over_after(&self) -> Duration {
        let (least, most) = OVER_AFTER;
        from_millis(self.pause_ms * OVER_AFTER_PAUSES).clamp(least, most)
    }

    /// How long a program is counted, in ms.
    fn counted_ms(&self) -> f64 {
        self.lasts_ms + millis(self.over_after())
    }

    /// Turns that a counted program has under way on the average.
    fn turns(&self) -> f64 {
        if self.is_known() { self.work_ms / self.counted_ms() * AHEAD_FACTOR } else { 1.0 }
    }

    /// Turns that its programs are expected to have under way soon.
    fn load(&self) -> f64 {
        (f64::from(self.live) * self.turns()).max(f64::from(self.running))
    }

    /// Time of a program without any turn, in ms.
    fn paused_ms(&self) -> f64 {
        (self.lasts_ms - self.busy_ms).max(0.0)
    }

    /// How many times as long as alone turns may take for a program to be in time.
    fn bearable(&self) -> Option<f64> {
        let allowed_ms = self.allowed_ms.filter(|_| self.is_known() && self.alone_ms > 0.0)?;
        Some(((allowed_ms - self.paused_ms()) / self.alone_ms).max(1.0))
    }

    /// Slowdown to which engines may be loaded.
    fn target(&self) -> Option<f64> {
        self.bearable().map(|bearable| 1.0 + (bearable - 1.0) * TARGET_SHARE)
    }

    /// How long a program lasts at a slowdown, in ms.
    fn lasts_at(&self, slowdown: f64) -> f64 {
        self.paused_ms() + self.alone_ms * slowdown
    }
}

/// Programs under way, and what their kinds are known to bring.
#[derive(Debug, Default)]
pub struct ProgramLoad {
    programs: BTreeMap<String, LiveProgram>,
    /// The program of each turn that runs.
    turns: HashMap<String, String>,
    kinds: BTreeMap<ProgramKind, KindMeans>,
    swept: Option<Instant>,
}

impl ProgramLoad {
    /// A turn of a program begins. `finish` is when the program should be over;
    /// `is_first` whether it begins with this turn. Returns whether the turn is new.
    pub fn begin_turn(
        &mut self,
        turn: &str,
        program: &str,
        kind: &ProgramKind,
        finish: Option<Instant>,
        is_first: bool,
        now: Instant,
    ) -> bool {
        if self.turns.contains_key(turn) {
            return false;
        }
        self.turns.insert(turn.to_owned(), program.to_owned());
        let means = self.kinds.entry(kind.clone()).or_default();
        let live = self.programs.entry(program.to_owned()).or_insert_with(|| {
            means.live += 1;
            LiveProgram {
                kind: kind.clone(),
                began: now,
                finish,
                running: 0,
                changed: now,
                busy: Duration::ZERO,
                work: Duration::ZERO,
                is_whole: is_first,
            }
        });
        if live.running == 0 && live.changed < now {
            means.note_pause(now - live.changed);
        }
        live.pass(now);
        live.running += 1;
        // The kind that it was counted under, should its route have changed since.
        if let Some(means) = self.kinds.get_mut(&live.kind) {
            means.running += 1;
        }
        true
    }

    /// A turn has ended, if it ever began.
    pub fn end_turn(&mut self, turn: &str, now: Instant) {
        let Some(program) = self.turns.remove(turn) else {
            return;
        };
        if let Some(live) = self.programs.get_mut(&program) {
            live.pass(now);
            live.running = live.running.saturating_sub(1);
            if let Some(means) = self.kinds.get_mut(&live.kind) {
                means.running = means.running.saturating_sub(1);
            }
        }
    }

    /// Forgets programs that are over, and learns from them; looks seldom. Returns whether
    /// it looked.
    pub fn sweep(&mut self, slowdown_of: impl Fn(&str) -> Option<f64>, now: Instant) -> bool {
        if self.swept.is_some_and(|at| now < at + SWEEP_INTERVAL) {
            return false;
        }
        self.swept = Some(now);
        let kinds = &mut self.kinds;
        self.programs.retain(|_, live| {
            let Some(means) = kinds.get_mut(&live.kind) else {
                return false;
            };
            if !live.is_over(now, means.over_after()) {
                return true;
            }
            means.live = means.live.saturating_sub(1);
            if let Some(slowdown) = slowdown_of(&live.kind.service).filter(|_| live.is_whole) {
                means.learn(live, slowdown.max(1.0));
            }
            false
        });
        true
    }

    /// Forgets the programs under way, and keeps what is learned: another leader follows them.
    pub fn begin_term(&mut self) {
        self.programs.clear();
        self.turns.clear();
        for means in self.kinds.values_mut() {
            (means.live, means.running) = (0, 0);
        }
    }

    /// Turns that the programs of a service are expected to have under way soon.
    pub fn load(&self, service: &str) -> f64 {
        self.of_service(service).map(KindMeans::load).sum()
    }

    /// Turns that a program of this kind brings at a time.
    pub fn turns(&self, kind: &ProgramKind) -> f64 {
        self.kinds.get(kind).map_or(1.0, KindMeans::turns)
    }

    /// Slowdown to which the engines of a service may be loaded for its programs under way
    /// and those of this kind; `None` while too little is known.
    pub fn target(&self, kind: &ProgramKind) -> Option<f64> {
        let own = self.kinds.get(kind)?.target()?;
        let others = self.of_service(&kind.service).filter(|means| means.live > 0);
        Some(others.filter_map(KindMeans::target).fold(own, f64::min))
    }

    /// How long programs of this kind last once they have begun, as a share of the time
    /// that they are allowed; `None` while unknown.
    pub fn lasts_share(&self, kind: &ProgramKind) -> Option<f64> {
        let means = self.kinds.get(kind)?;
        let allowed_ms = means.allowed_ms.filter(|allowed_ms| *allowed_ms > 0.0)?;
        Some((means.lasts_at(means.target()?) / allowed_ms).min(1.0))
    }

    /// Turns a second that programs under way free by ending.
    pub fn freed_per_s(&self, service: &str) -> f64 {
        let known = self.of_service(service).filter(|means| means.is_known());
        known.map(|means| means.load() * 1_000.0 / means.counted_ms()).sum()
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KindMeans> {
        let is_of = move |(kind, _): &(&ProgramKind, &KindMeans)| kind.service == service;
        self.kinds.iter().filter(is_of).map(|(_, means)| means)
    }
}

/// Turns that a replica carries at a slowdown: its slots at most, and a few that queue.
pub fn carried(slots: u32, slowdown: f64, speed: &EngineSpeed) -> f64 {
    let slots = f64::from(slots.max(1));
    let most = slots * (1.0 + QUEUED_SHARE);
    speed.turns_within(slowdown).map_or(slots, |turns| turns.clamp(slots * LEAST_SHARE, most))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn from_millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
