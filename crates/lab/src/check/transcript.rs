//! The conversation each program should have, by its caller's own records.

use std::collections::BTreeMap;

use calicohoist_types::{ChatMessage, Role};

use crate::history::{Asked, History, TryEnd};

/// What a caller knows of one place in its program.
struct Place {
    messages: Vec<ChatMessage>,
    answer: Option<String>,
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
            let place = places
                .entry(call.sequence)
                .or_insert_with(|| Place { messages: messages.clone(), answer: None });
            if let TryEnd::Answered { text, .. } = &call.end {
                place.messages.clone_from(messages);
                place.answer = Some(text.clone());
            }
        }
        Self { programs }
    }

    /// The whole prompt that the call at `sequence` should have; `None` for a
    /// call that no caller issued.
    pub(super) fn prompt(&self, program: &str, sequence: u64) -> Option<Vec<ChatMessage>> {
        let places = self.programs.get(program)?;
        let own = places.get(&sequence)?;
        let mut prompt = Vec::new();
        for (_, place) in places.range(..sequence) {
            if let Some(answer) = &place.answer {
                prompt.extend(place.messages.iter().cloned());
                prompt.push(ChatMessage::new(Role::Assistant, answer));
            }
        }
        prompt.extend(own.messages.iter().cloned());
        Some(prompt)
    }
}
