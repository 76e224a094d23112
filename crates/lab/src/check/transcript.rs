//! Expected conversations of programs, reconstructed from the records of their callers.

use std::collections::BTreeMap;

use calicohoist_types::{ChatMessage, Role};

use crate::history::{CallInput, CallResult, History};

/// A caller's requests and answer for one call of a program.
#[derive(Default)]
struct CallRecord {
    /// Messages of each distinct request sent for the call.
    requested: Vec<Vec<ChatMessage>>,
    /// Messages and answer of the answered request.
    answered: Option<(Vec<ChatMessage>, String)>,
}

/// Calls of each program by sequence number.
pub(super) struct Transcripts {
    programs: BTreeMap<String, BTreeMap<u64, CallRecord>>,
}

impl Transcripts {
    pub(super) fn new(history: &History) -> Self {
        let mut programs: BTreeMap<String, BTreeMap<u64, CallRecord>> = BTreeMap::new();
        for call in &history.tries {
            let CallInput::Model { messages, .. } = &call.asked else {
                continue;
            };
            let calls = programs.entry(call.program.clone()).or_default();
            let record = calls.entry(call.sequence).or_default();
            if !record.requested.contains(messages) {
                record.requested.push(messages.clone());
            }
            if let CallResult::Answered { text, .. } = &call.end {
                record.answered = Some((messages.clone(), text.clone()));
            }
        }
        Self { programs }
    }

    /// Returns the conversation before the call at `sequence`.
    fn conversation_before(&self, program: &str, sequence: u64) -> Vec<ChatMessage> {
        let mut history = Vec::new();
        let calls =
            self.programs.get(program).into_iter().flat_map(|calls| calls.range(..sequence));
        for (messages, answer) in calls.filter_map(|(_, record)| record.answered.as_ref()) {
            history.extend(messages.iter().cloned());
            history.push(ChatMessage::new(Role::Assistant, answer));
        }
        history
    }

    /// Returns the full prompt of a call at `sequence` that adds `messages`.
    pub(super) fn prompt(
        &self,
        program: &str,
        sequence: u64,
        messages: &[ChatMessage],
    ) -> Vec<ChatMessage> {
        let mut prompt = self.conversation_before(program, sequence);
        prompt.extend(messages.iter().cloned());
        prompt
    }

    /// Returns whether the caller sent a request at `sequence` that results in this full prompt.
    pub(super) fn was_requested(
        &self,
        program: &str,
        sequence: u64,
        prompt: &[ChatMessage],
    ) -> bool {
        let record = self.programs.get(program).and_then(|calls| calls.get(&sequence));
        let Some(record) = record else {
            return false;
        };
        let conversation_before = self.conversation_before(program, sequence);
        let added = prompt.strip_prefix(conversation_before.as_slice());
        added.is_some_and(|added| record.requested.iter().any(|requested| requested == added))
    }
}
