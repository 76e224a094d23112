//! Splitting of byte streams into events.

use bytes::Bytes;
use calicohoist_proxy::events::{EventSplitter, EventTooLong, ServerEvent};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns all complete events of the pushed bytes.
fn take_all(splitter: &mut EventSplitter) -> Vec<Bytes> {
    let mut events = Vec::new();
    while let Some(bytes) = splitter.event_bytes().expect("short events") {
        events.push(splitter.take_event(bytes));
    }
    events
}

#[test]
fn fields_of_an_event_are_parsed() {
    let event = ServerEvent::parse(Bytes::from_static(b"id: 7\r\ndata:a\r\ndata: b\r\n\r\n"));
    assert_eq!(event.id.as_deref(), Some("7"));
    assert_eq!(event.data.as_deref(), Some(b"a\nb".as_slice()));
    let event = ServerEvent::parse(Bytes::from_static(b"data:\ndata:\n\n"));
    assert_eq!(event.data.as_deref(), Some(b"\n".as_slice()));
    let event = ServerEvent::parse(Bytes::from_static(b": comment\n\n"));
    assert_eq!((event.id, event.data), (None, None));
}

#[test]
fn event_without_end_is_too_long() {
    let mut splitter = EventSplitter::default();
    for _ in 0..64 {
        assert_eq!(splitter.event_bytes(), Ok(None));
        splitter.push(&[b'x'; 16 << 10]);
    }
    assert_eq!(splitter.event_bytes(), Ok(None), "exactly the maximum size");
    splitter.push(b"x");
    assert_eq!(splitter.event_bytes(), Err(EventTooLong));
}

/// Otherwise streams hold memory although nothing of them is unread.
#[test]
fn buffer_is_freed_between_events() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: x\n\ndata: y");
    assert_eq!(take_all(&mut splitter).len(), 1);
    assert!(splitter.has_partial_event() && splitter.capacity() > 0);
    splitter.push(b"\n\n");
    assert_eq!(take_all(&mut splitter), ["data: y\n\n"]);
    assert!(!splitter.has_partial_event());
    assert_eq!(splitter.capacity(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(80),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Events are the same however their bytes arrive, and the buffer is as large as was announced.
    #[test]
    fn events_do_not_depend_on_how_their_bytes_arrive(
        texts in prop::collection::vec("[a-z]{0,20}", 1..20),
        line_end in prop_oneof![Just("\n"), Just("\r\n")],
        part_bytes in prop::collection::vec(1..50usize, 1..20),
    ) {
        let events: Vec<_> =
            texts.iter().map(|text| format!("data: {text}{line_end}{line_end}")).collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::default();
        let mut split = Vec::new();
        let mut rest = stream.as_bytes();
        for bytes in part_bytes.iter().cycle() {
            let (part, following) = rest.split_at((*bytes).min(rest.len()));
            let capacity = splitter.capacity_with(part.len());
            splitter.push(part);
            prop_assert_eq!(splitter.capacity(), capacity);
            split.extend(take_all(&mut splitter));
            rest = following;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(split, events);
        prop_assert!(!splitter.has_partial_event());
    }
}
