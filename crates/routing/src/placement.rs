//! Placement of turns by a process that sees all of them.
//!
//! [`Placer`] counts the turns under way at each replica and keeps an index of the
//! prompts that each holds. It places a turn where the time that it takes, and the time
//! by which it delays the turns already there, are least.
//!
//! All of it is soft state: whoever begins with an empty placer places by load alone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prefix::{PrefixIndex, PromptPart};
use crate::replica::{Replica, ReplicaState};

/// Silence of a replica with turns under way from which it is suspected: some turn ends
/// every tenth of a second or so where several run, and most are shorter than this.
const SUSPECT_AFTER: Duration = Duration::from_millis(800);
/// How long a replica stays suspected after a turn ended that it never answered.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// How often turns are sought whose end nobody told.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// A turn that is to be placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The service that runs it.
    pub service: String,
    /// Zone of the gateway that sends it.
    pub zone: String,
    /// Its prompt.
    pub prompt: Vec<PromptPart>,
    /// Tokens that the memory of one replica holds.
    pub memory_tokens: u64,
    /// Time after which the turn has ended in any case, in ms.
    pub left_ms: u64,
}

/// What waiting, reading and sharing a replica cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWeights {
    /// Time that one turn holds a slot, about.
    pub turn_time: Duration,
    /// Delay that a running turn brings to a further one: it reads prompts, too.
    pub per_running: Duration,
    /// Prompt tokens that a replica reads in a millisecond.
    pub tokens_per_ms: u32,
    /// Share of the reading time that each running turn loses by it.
    pub reading_disturbs: f64,
    /// Cost of leaving the zone of the gateway.
    pub zone_crossing: Duration,
    /// Cost of a replica that shows no sign of work.
    pub suspicion: Duration,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            turn_time: Duration::from_millis(250),
            per_running: Duration::from_millis(8),
            tokens_per_ms: 64,
            reading_disturbs: 0.3,
            zone_crossing: Duration::from_millis(2),
            suspicion: Duration::from_secs(1),
        }
    }
}

/// A turn under way.
#[derive(Clone, Debug)]
struct PlacedTurn {
    replica: String,
    prompt: Vec<PromptPart>,
    memory_tokens: u64,
    began: Instant,
    ends_by: Instant,
}

/// When a replica last showed that it works.
#[derive(Clone, Copy, Debug)]
struct Signs {
    last: Instant,
    suspected_until: Option<Instant>,
}

/// Places turns, and learns from where they ran.
#[derive(Debug, Default)]
pub struct Placer {
    weights: PlacementWeights,
    turns: HashMap<String, PlacedTurn>,
    loads: HashMap<String, u32>,
    signs: HashMap<String, Signs>,
    index: PrefixIndex,
    expired_at: Option<Instant>,
}

impl Placer {
    /// A placer that knows of no turn.
    pub fn new(weights: PlacementWeights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// The replica for a turn, among `replicas`. A turn that is asked for again stays
    /// where it was placed. `None` when no replica takes it.
    pub fn place(
        &mut self,
        turn: &str,
        request: &PlacementRequest,
        replicas: &[Replica],
        now: Instant,
    ) -> Option<String> {
        self.expire(now);
        let is_open = |replica: &&Replica| {
            replica.service == request.service && replica.state == ReplicaState::Ready
        };
        let open: Vec<&Replica> = replicas.iter().filter(is_open).collect();
        if let Some(placed) = self.turns.get(turn)
            && open.iter().any(|replica| replica.id == placed.replica)
        {
            return Some(placed.replica.clone());
        }
        // Of equals, the one whose memory has most room.
        let rank =
            |replica: &&&Replica| (self.cost(replica, request, now), self.index.held(&replica.id));
        let chosen = open.iter().min_by_key(rank)?;
        let chosen = chosen.id.clone();
        self.begin(turn, &chosen, request, now);
        Some(chosen)
    }

    /// A turn has ended. `ran_at` is the replica that ran it, which may be another than
    /// the one it was placed on, and `generated` what it made, in tokens. `None` when no
    /// replica answered.
    pub fn end(&mut self, turn: &str, ran_at: Option<&str>, generated: u64, now: Instant) {
        let Some(mut placed) = self.forget(turn) else {
            return;
        };
        let Some(ran_at) = ran_at else {
            return self.note_unanswered(&placed, now);
        };
        self.signs.insert(ran_at.to_owned(), Signs { last: now, suspected_until: None });
        if let Some(last) = placed.prompt.last_mut() {
            last.tokens = last.tokens.saturating_add(u32::try_from(generated).unwrap_or(u32::MAX));
        }
        self.index.note(ran_at, &placed.prompt, placed.memory_tokens);
    }

    /// Forgets what is known of replicas that are not in `replicas`.
    pub fn retain(&mut self, replicas: &[Replica]) {
        let is_listed = |id: &str| replicas.iter().any(|replica| replica.id == id);
        self.index.retain(is_listed);
        self.signs.retain(|id, _| is_listed(id));
    }

    /// Turns under way at a replica.
    pub fn load(&self, replica: &str) -> u32 {
        self.loads.get(replica).copied().unwrap_or_default()
    }

    fn begin(&mut self, turn: &str, replica: &str, request: &PlacementRequest, now: Instant) {
        self.forget(turn);
        // The next turns may come before this one ends.
        self.index.note(replica, &request.prompt, request.memory_tokens);
        let load = self.loads.entry(replica.to_owned()).or_default();
        if *load == 0 {
            let fresh = Signs { last: now, suspected_until: None };
            self.signs.entry(replica.to_owned()).or_insert(fresh).last = now;
        }
        *load += 1;
        let placed = PlacedTurn {
            replica: replica.to_owned(),
            prompt: request.prompt.clone(),
            memory_tokens: request.memory_tokens,
            began: now,
            ends_by: now + Duration::from_millis(request.left_ms),
        };
        self.turns.insert(turn.to_owned(), placed);
    }

    /// A turn ended that nobody answered: its caller left, or every replica refused.
    fn note_unanswered(&mut self, placed: &PlacedTurn, now: Instant) {
        if now < placed.began + SUSPECT_AFTER {
            return;
        }
        if let Some(signs) = self.signs.get_mut(&placed.replica)
            && signs.last <= placed.began
        {
            signs.suspected_until = Some(now + SUSPECT_FOR);
        }
    }

    /// Whether a replica has turns and shows no sign of working on them.
    fn is_suspected(&self, replica: &str, now: Instant) -> bool {
        let Some(signs) = self.signs.get(replica) else {
            return false;
        };
        let is_silent = self.load(replica) > 0 && now >= signs.last + SUSPECT_AFTER;
        is_silent || signs.suspected_until.is_some_and(|until| now < until)
    }

    fn forget(&mut self, turn: &str) -> Option<PlacedTurn> {
        let placed = self.turns.remove(turn)?;
        if let Some(load) = self.loads.get_mut(&placed.replica) {
            *load -= 1;
            if *load == 0 {
                self.loads.remove(&placed.replica);
            }
        }
        Some(placed)
    }

    /// Drops turns whose time is over and whose end nobody told; looks seldom.
    fn expire(&mut self, now: Instant) {
        if self.expired_at.is_some_and(|at| now < at + EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        let ended = self.turns.iter().filter(|(_, placed)| placed.ends_by <= now);
        let ended: Vec<String> = ended.map(|(turn, _)| turn.clone()).collect();
        for turn in ended {
            self.forget(&turn);
        }
    }

    fn cost(&self, replica: &Replica, request: &PlacementRequest, now: Instant) -> Duration {
        let weights = &self.weights;
        let slots = replica.slots.max(1);
        let load = self.load(&replica.id);
        let running = load.min(slots);
        let ahead = (load + 1).saturating_sub(slots);
        let waiting = weights.turn_time * ahead / slots;
        let unread = self.index.unread(&replica.id, &request.prompt);
        let reading_ms = unread as f64 / f64::from(weights.tokens_per_ms.max(1));
        let disturbed = 1.0 + weights.reading_disturbs * f64::from(running);
        let reading = Duration::from_secs_f64(reading_ms * disturbed / 1_000.0);
        let is_near = replica.zone == request.zone;
        let crossing = if is_near { Duration::ZERO } else { weights.zone_crossing };
        let is_suspected = self.is_suspected(&replica.id, now);
        let suspicion = if is_suspected { weights.suspicion } else { Duration::ZERO };
        waiting + reading + weights.per_running * running + crossing + suspicion
    }
}
