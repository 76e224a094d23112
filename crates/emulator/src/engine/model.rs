//! The engine as a model without I/O: a step-time model of continuous batching.
//!
//! Each step computes a bounded number of prompt tokens and one token for each
//! sequence that generates. Its duration grows with both, and with the history
//! that is read. Outputs of a step appear at its end.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use calicohoist_types::backend_api::{
    CacheEvent, CommandReply, EngineCommand, EngineRole, ExportedCache, FencedCommand, LoadReport,
};
use calicohoist_types::{AttemptId, ChatMessage, ModelId, Moment, ProgramId, Usage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cache::{BLOCK_TOKENS, BlockCache, BlockHash};
use super::record::EngineRecord;
use crate::answer::answer_tokens;

/// Cache events kept for readers that come late.
const MAX_EVENTS: usize = 4_096;

/// Speed and size of an engine.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Time of an empty step.
    pub step_base: Duration,
    /// Time for each prompt token of a step.
    pub per_prefill_token: Duration,
    /// Time for each sequence that generates.
    pub per_decode: Duration,
    /// Time for each thousand tokens of history read in a step.
    pub per_thousand_history: Duration,
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk: u64,
    /// Sequences in a step at most.
    pub max_batch: usize,
    /// Cache blocks.
    pub blocks: usize,
    /// Time by which a cache event comes late.
    pub event_delay: Duration,
    /// Share of cache events that never come.
    pub event_loss: f64,
    /// Age of a load report.
    pub load_lag: Duration,
    /// Cache blocks that can be moved out or in, per second.
    pub export_blocks_per_second: u64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            step_base: Duration::from_millis(8),
            per_prefill_token: Duration::from_micros(60),
            per_decode: Duration::from_micros(400),
            per_thousand_history: Duration::from_micros(150),
            prefill_chunk: 512,
            max_batch: 16,
            blocks: 4_096,
            event_delay: Duration::from_millis(150),
            event_loss: 0.02,
            load_lag: Duration::from_millis(300),
            export_blocks_per_second: 20_000,
        }
    }
}

/// A request for an engine.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The attempt.
    pub attempt: AttemptId,
    /// The owner of its cache blocks.
    pub program: ProgramId,
    /// The model wanted.
    pub model: ModelId,
    /// The whole prompt.
    pub prompt: Vec<ChatMessage>,
    /// Text of the answer that exists already.
    pub continuation: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Smaller goes first.
    pub priority: u64,
}

/// Why a request was refused before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// It does not serve the model.
    WrongModel,
    /// It has this attempt already.
    Duplicate,
}

/// What a step produced.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOutput {
    /// More text of an answer.
    Text {
        /// The attempt.
        attempt: AttemptId,
        /// The text, with its leading space.
        text: String,
    },
    /// An answer is whole.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// `stop` or `length`.
        finish_reason: &'static str,
        /// Tokens used.
        usage: Usage,
    },
}

#[derive(Debug)]
struct Sequence {
    submission: Submission,
    arrived: Moment,
    answer: Vec<&'static str>,
    /// Tokens of the answer that are out, the continuation included.
    generated: usize,
    /// Tokens of the answer that were there already.
    continued: usize,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Prompt tokens still to compute.
    to_prefill: u64,
    hashes: Vec<BlockHash>,
    stored: usize,
}

/// An engine.
#[derive(Debug)]
pub struct EngineModel {
    name: String,
    profile: EngineProfile,
    model: ModelId,
    /// The model whose weights are on their way; nothing is served meanwhile.
    loading: Option<ModelId>,
    role: EngineRole,
    adapters: Vec<String>,
    fence: (u64, u64),
    leaving: bool,
    random: ChaCha8Rng,
    cache: BlockCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    /// End of the step under way, and the prompt tokens that it computes by attempt.
    step: Option<(Moment, BTreeMap<AttemptId, u64>)>,
    events: VecDeque<(Moment, CacheEvent)>,
    next_event: u64,
    loads: VecDeque<(Moment, LoadReport)>,
    records: BTreeMap<AttemptId, EngineRecord>,
}

impl EngineModel {
    /// An engine that serves `model`.
    pub fn new(name: impl Into<String>, profile: EngineProfile, model: ModelId, seed: u64) -> Self {
        Self {
            name: name.into(),
            cache: BlockCache::new(profile.blocks),
            profile,
            model,
            loading: None,
            role: EngineRole::Both,
            adapters: Vec::new(),
            fence: (0, 0),
            leaving: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            waiting: Vec::new(),
            running: Vec::new(),
            step: None,
            events: VecDeque::new(),
            next_event: 0,
            loads: VecDeque::new(),
            records: BTreeMap::new(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The model it serves.
    pub fn model(&self) -> &ModelId {
        &self.model
    }

    /// Its role.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Takes a request.
    ///
    /// # Errors
    /// When it is refused before it starts.
    pub fn submit(&mut self, now: Moment, submission: Submission) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if submission.model != self.model || self.loading.is_some() {
            return Err(Refusal::WrongModel);
        }
        if self.records.contains_key(&submission.attempt) {
            return Err(Refusal::Duplicate);
        }
        let sequence = Sequence::new(submission, now);
        self.records.insert(sequence.submission.attempt.clone(), self.record_of(&sequence));
        self.waiting.push(sequence);
        self.start_step(now);
        Ok(())
    }

    fn record_of(&self, sequence: &Sequence) -> EngineRecord {
        EngineRecord {
            engine: self.name.clone(),
            attempt: sequence.submission.attempt.clone(),
            program: sequence.submission.program.clone(),
            prompt: sequence.submission.prompt.clone(),
            arrived: sequence.arrived,
            finished: None,
            usage: Usage::default(),
        }
    }

    /// Drops a request; what it generated so far is lost.
    pub fn cancel(&mut self, attempt: &AttemptId) -> bool {
        let is_other = |sequence: &Sequence| sequence.submission.attempt != *attempt;
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(is_other);
        let (kept, dropped): (Vec<Sequence>, Vec<Sequence>) =
            std::mem::take(&mut self.running).into_iter().partition(is_other);
        self.running = kept;
        for sequence in &dropped {
            self.cache.unpin(&sequence.hashes[..sequence.stored]);
        }
        before != self.waiting.len() + self.running.len()
    }

    /// When something happens next by itself.
    pub fn next_step_end(&self) -> Option<Moment> {
        self.step.as_ref().map(|(end, _)| *end)
    }

    /// Lets time pass; returns what steps that ended by `now` produced.
    pub fn advance(&mut self, now: Moment) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some((end, prefill)) = self.step.take_if(|(end, _)| *end <= now) {
            self.end_step(end, &prefill, &mut outputs);
            self.start_step(end);
        }
        self.note_load(now);
        outputs
    }

    fn start_step(&mut self, now: Moment) {
        if self.step.is_some() {
            return;
        }
        self.admit(now);
        if self.running.is_empty() {
            return;
        }
        let mut left = self.profile.prefill_chunk;
        let mut prefill = BTreeMap::new();
        let mut decoding = 0;
        let mut history = 0;
        for sequence in &self.running {
            history += sequence.prompt_tokens + sequence.generated as u64;
            if sequence.to_prefill == 0 {
                decoding += 1;
                continue;
            }
            let part = sequence.to_prefill.min(left);
            left -= part;
            prefill.insert(sequence.submission.attempt.clone(), part);
        }
        let prefill_tokens = self.profile.prefill_chunk - left;
        let duration = self.step_time(prefill_tokens, decoding, history);
        self.step = Some((now + duration, prefill));
    }

    /// Duration of one step.
    pub fn step_time(&self, prefill_tokens: u64, decoding: u32, history: u64) -> Duration {
        let profile = &self.profile;
        let prefill = profile.per_prefill_token.mul_f64(prefill_tokens as f64);
        let decode = profile.per_decode.mul_f64(f64::from(decoding));
        let reading = profile.per_thousand_history.mul_f64(history as f64 / 1_000.0);
        profile.step_base + prefill + decode + reading
    }

    fn admit(&mut self, now: Moment) {
        self.waiting.sort_by_key(|sequence| (sequence.submission.priority, sequence.arrived));
        while self.running.len() < self.profile.max_batch && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            let held = self.cache.held_prefix(&sequence.hashes) as u64 * BLOCK_TOKENS;
            // The last token is always computed: generation starts from it.
            let computable = sequence.prompt_tokens + sequence.continued as u64;
            sequence.cached_tokens = held.min(computable.saturating_sub(1));
            sequence.to_prefill = computable - sequence.cached_tokens;
            let program = sequence.submission.program.clone();
            sequence.stored = self.cache.store(now, &program, &sequence.hashes);
            self.running.push(sequence);
        }
        self.publish_changes(now);
    }

    fn end_step(
        &mut self,
        end: Moment,
        prefill: &BTreeMap<AttemptId, u64>,
        outputs: &mut Vec<EngineOutput>,
    ) {
        let mut finished = Vec::new();
        for sequence in &mut self.running {
            let attempt = sequence.submission.attempt.clone();
            let computed = prefill.get(&attempt).copied().unwrap_or_default();
            let was_generating = sequence.to_prefill == 0;
            sequence.to_prefill -= computed.min(sequence.to_prefill);
            if sequence.to_prefill > 0 || (!was_generating && computed == 0) {
                continue;
            }
            // The step that completes the prompt yields the first token.
            if let Some(text) = sequence.generate() {
                let attempt = attempt.clone();
                outputs.push(EngineOutput::Text { attempt, text });
            }
            if let Some(finish_reason) = sequence.finish_reason() {
                finished.push((attempt, finish_reason));
            }
        }
        for (attempt, finish_reason) in finished {
            self.finish(end, &attempt, finish_reason, outputs);
        }
        self.publish_changes(end);
    }

    fn finish(
        &mut self,
        end: Moment,
        attempt: &AttemptId,
        finish_reason: &'static str,
        outputs: &mut Vec<EngineOutput>,
    ) {
        let is_it = |sequence: &Sequence| sequence.submission.attempt == *attempt;
        let Some(position) = self.running.iter().position(is_it) else {
            return;
        };
        let sequence = self.running.remove(position);
        self.cache.unpin(&sequence.hashes[..sequence.stored]);
        self.keep_answer(end, &sequence);
        let usage = sequence.usage();
        if let Some(record) = self.records.get_mut(attempt) {
            record.finished = Some(end);
            record.usage = usage;
        }
        outputs.push(EngineOutput::Done { attempt: attempt.clone(), finish_reason, usage });
    }

    /// Keeps the blocks of prompt and answer for the program's next call.
    fn keep_answer(&mut self, now: Moment, sequence: &Sequence) {
        let mut messages = sequence.submission.prompt.clone();
        let answer = sequence.answer[..sequence.generated].join(" ");
        messages.push(ChatMessage::new(calicohoist_types::Role::Assistant, answer));
        let hashes = block_hashes(&messages);
        let stored = self.cache.store(now, &sequence.submission.program, &hashes);
        self.cache.unpin(&hashes[..stored]);
    }

    fn publish_changes(&mut self, now: Moment) {
        for (program, tokens) in self.cache.take_changes() {
            self.next_event += 1;
            if self.random.random_bool(self.profile.event_loss) {
                continue;
            }
            let event = CacheEvent { number: self.next_event, program, tokens };
            self.events.push_back((now + self.profile.event_delay, event));
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }

    /// Cache events after `number` that have become visible by `now`.
    pub fn events_after(&self, now: Moment, number: u64) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(from, _)| *from <= now);
        let newer = visible.filter(|(_, event)| event.number > number);
        newer.map(|(_, event)| event.clone()).collect()
    }

    fn note_load(&mut self, now: Moment) {
        let report = LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_blocks: self.cache.used() as u64,
            total_blocks: self.cache.capacity() as u64,
            leaving: self.leaving,
        };
        self.loads.push_back((now, report));
        let visible_at = |(at, _): &(Moment, LoadReport)| *at + self.profile.load_lag <= now;
        while self.loads.len() > 1 && self.loads.get(1).is_some_and(visible_at) {
            self.loads.pop_front();
        }
    }

    /// The load as it was one lag ago; only `leaving` is up to date.
    pub fn load(&mut self, now: Moment) -> LoadReport {
        self.note_load(now);
        let oldest = self.loads.front().map(|(_, report)| report.clone()).unwrap_or_default();
        LoadReport { leaving: self.leaving, ..oldest }
    }

    /// Programs with the tokens held for each.
    pub fn listing(&self) -> Vec<(ProgramId, u64)> {
        self.cache.listing()
    }

    /// Frees the memory of `program`, and drops its requests.
    pub fn release(&mut self, now: Moment, program: &ProgramId) -> u64 {
        let all = self.waiting.iter().chain(&self.running);
        let own = all.filter(|sequence| sequence.submission.program == *program);
        let attempts: Vec<AttemptId> =
            own.map(|sequence| sequence.submission.attempt.clone()).collect();
        for attempt in attempts {
            self.cancel(&attempt);
        }
        let freed = self.cache.release(program);
        self.publish_changes(now);
        freed
    }

    /// Takes a copy of a program's blocks out.
    pub fn export(&self, program: &ProgramId) -> ExportedCache {
        let blocks = self.cache.blocks_of(program);
        let per_second = self.profile.export_blocks_per_second.max(1);
        ExportedCache {
            program: program.clone(),
            transfer_micros: blocks.len() as u64 * 1_000_000 / per_second,
            blocks,
        }
    }

    /// Puts blocks of another engine in; returns how many fitted.
    pub fn import(&mut self, now: Moment, exported: &ExportedCache) -> usize {
        let stored = self.cache.store(now, &exported.program, &exported.blocks);
        self.cache.unpin(&exported.blocks[..stored]);
        self.publish_changes(now);
        stored
    }

    /// Obeys an order if it is newer than all before.
    pub fn order(&mut self, order: &FencedCommand) -> CommandReply {
        let number = (order.epoch, order.sequence);
        let accepted = number > self.fence;
        if accepted {
            self.fence = number;
            match &order.order {
                EngineCommand::LoadModel { model, .. } => self.loading = Some(model.clone()),
                EngineCommand::LoadAdapter { adapter } => self.adapters.push(adapter.clone()),
                EngineCommand::SetRole { role } => self.role = *role,
                EngineCommand::Leave => self.leaving = true,
            }
        }
        CommandReply { accepted, epoch: self.fence.0, sequence: self.fence.1 }
    }

    /// The model whose weights are on their way.
    pub fn loading(&self) -> Option<&ModelId> {
        self.loading.as_ref()
    }

    /// The weights have arrived: serves the model that was ordered last.
    pub fn finish_loading(&mut self) {
        if let Some(model) = self.loading.take() {
            self.model = model;
        }
    }

    /// Stops taking new work.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Everything it was asked to do.
    pub fn records(&self) -> impl Iterator<Item = &EngineRecord> {
        self.records.values()
    }
}

impl Sequence {
    fn new(submission: Submission, arrived: Moment) -> Self {
        let prompt_tokens = submission.prompt.iter().map(ChatMessage::tokens).sum();
        let answer = answer_tokens(&submission.model, &submission.prompt);
        let continued = submission.continuation.split_whitespace().count().min(answer.len());
        let hashes = block_hashes(&submission.prompt);
        Self {
            submission,
            arrived,
            answer,
            generated: continued,
            continued,
            prompt_tokens,
            cached_tokens: 0,
            to_prefill: 0,
            hashes,
            stored: 0,
        }
    }

    fn limit(&self) -> usize {
        let limit = usize::try_from(self.submission.max_tokens).unwrap_or(usize::MAX);
        self.answer.len().min(limit)
    }

    fn generate(&mut self) -> Option<String> {
        let word = self.answer.get(self.generated).filter(|_| self.generated < self.limit())?;
        let is_first = self.generated == 0;
        self.generated += 1;
        Some(if is_first { (*word).to_owned() } else { format!(" {word}") })
    }

    fn finish_reason(&self) -> Option<&'static str> {
        if self.generated < self.limit() {
            None
        } else if self.generated < self.answer.len() {
            Some("length")
        } else {
            Some("stop")
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.generated as u64,
            cached_tokens: self.cached_tokens,
        }
    }
}

/// Chained hashes of the whole blocks of a conversation.
pub fn block_hashes(messages: &[ChatMessage]) -> Vec<BlockHash> {
    let mut hasher = blake3::Hasher::new();
    let mut in_block = 0;
    let mut hashes = Vec::new();
    for message in messages {
        let role = std::iter::once(message.role.as_str());
        for token in role.chain(message.content.split_whitespace()) {
            hasher.update(token.as_bytes());
            hasher.update(&[0]);
            in_block += 1;
            if in_block == BLOCK_TOKENS {
                in_block = 0;
                let mut first = [0; 8];
                first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
                hashes.push(u64::from_le_bytes(first));
            }
        }
    }
    hashes
}
