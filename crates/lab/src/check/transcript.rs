//! The conversation each program should have, by its caller's own records.

use std::collections::BTreeMap;

use calicohoist_types::{ChatMessage, Role};

use crate::history::{Asked, History, TryEnd};

/// What a caller knows of one place in its program.
#[derive(Default)]
struct Place {
    /// Messages of each request that was sent for this place.
    asked: Vec<Vec<ChatMessage>>,
    /// Messages and answer of the request that was answered.
    answered: Option<(Vec<ChatMessage>, String)>,
}

/// Conversations by program and place.
pub(super) struct Transcripts {
    programs: BTreeMap<String, BTreeMap<u64, Place>>,
}

impl Transcripts {
    pub(super) fn new(history: &History) -> Self {
        let mut programs: BTreeMap<String, BTreeMap<u64, Place>> = BTreeMap::new();
        for call in &history.tries {
            let Asked::Model { messages, .. } = &call.asked else {
                continue;
            };
            let places = programs.entry(call.program.clone()).or_default();
            let place = places.entry(call.sequence).or_default();
            if !place.asked.contains(messages) {
                place.asked.push(messages.clone());
            }
            if let TryEnd::Answered { text, .. } = &call.end {
                place.answered = Some((messages.clone(), text.clone()));
            }
        }
        Self { programs }
    }

    /// The conversation before the call at `sequence`.
    fn before(&self, program: &str, sequence: u64) -> Vec<ChatMessage> {
        let mut history = Vec::new();
        let places = self.programs.get(program).into_iter().flat_map(|all| all.range(..sequence));
        for (messages, answer) in places.filter_map(|(_, place)| place.answered.as_ref()) {
            history.extend(messages.iter().cloned());
            history.push(ChatMessage::new(Role::Assistant, answer));
        }
        history
    }

    /// The whole prompt of a call at `sequence` that adds `messages`.
    pub(super) fn prompt(
        &self,
        program: &str,
        sequence: u64,
        messages: &[ChatMessage],
    ) -> Vec<ChatMessage> {
        let mut prompt = self.before(program, sequence);
        prompt.extend(messages.iter().cloned());
        prompt
    }

    /// Whether a caller issued a call at `sequence` with this whole prompt.
    pub(super) fn was_asked(&self, program: &str, sequence: u64, prompt: &[ChatMessage]) -> bool {
        let place = self.programs.get(program).and_then(|places| places.get(&sequence));
        let Some(place) = place else {
            return false;
        };
        let before = self.before(program, sequence);
        let own = prompt.strip_prefix(before.as_slice());
        own.is_some_and(|own| place.asked.iter().any(|asked| asked == own))
    }
}
