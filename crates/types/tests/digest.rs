//! Histories of different programs never share a digest.

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
fn the_digest_depends_on_where_messages_end() {
    let start = HistoryDigest::empty(&ProgramId::new("a"));
    let split = start.append(&message("ab")).append(&message("c"));
    let other = start.append(&message("a")).append(&message("bc"));
    assert_ne!(split, other);
}
