//! History digests depend on the program and on message boundaries.

use calicohoist_types::{ChatMessage, HistoryDigest, ProgramId, Role};

fn message(text: &str) -> ChatMessage {
    ChatMessage::new(Role::User, text)
}

#[test]
fn equal_messages_in_two_programs_have_different_digests() {
    let first = HistoryDigest::empty(&ProgramId::new("a")).append(&message("hello"));
    let second = HistoryDigest::empty(&ProgramId::new("b")).append(&message("hello"));
    assert_ne!(first, second);
}

#[test]
fn digest_depends_on_message_boundaries() {
    let empty = HistoryDigest::empty(&ProgramId::new("a"));
    let split = empty.append(&message("ab")).append(&message("c"));
    let other = empty.append(&message("a")).append(&message("bc"));
    assert_ne!(split, other);
}
