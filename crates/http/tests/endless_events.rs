//! Event streams without an event, or with one that never ends.

use std::io::{self, Read};

use calicohoist_http::EventReader;

/// Bytes that may be read of a stream without an event.
const MAX_READ_BYTES: usize = 2 << 20;
/// Bytes after which an input ends that is otherwise endless.
const ENDLESS_BYTES: usize = 32 << 20;

/// Input that repeats a part.
struct RepeatedPart {
    part: &'static [u8],
    read_bytes: usize,
}

impl Read for RepeatedPart {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.read_bytes >= ENDLESS_BYTES {
            return Ok(0);
        }
        for (index, byte) in buffer.iter_mut().enumerate() {
            *byte = self.part[(self.read_bytes + index) % self.part.len()];
        }
        self.read_bytes += buffer.len();
        Ok(buffer.len())
    }
}

fn assert_reading_ends(part: &'static [u8]) {
    let mut input = RepeatedPart { part, read_bytes: 0 };
    let next = EventReader::new(&mut input).next_data();
    assert!(next.is_err(), "{next:?}");
    assert!(input.read_bytes <= MAX_READ_BYTES, "{} bytes were read", input.read_bytes);
}

#[test]
fn comments_without_end_are_not_read() {
    assert_reading_ends(b": ping\n\n");
}

#[test]
fn empty_lines_without_end_are_not_read() {
    assert_reading_ends(b"\n");
}

#[test]
fn event_without_end_is_not_read() {
    assert_reading_ends(b"data: ");
}

#[test]
fn comments_between_events_do_not_add_up() {
    const EVENTS: usize = 4;
    let stream = format!("{}data: event\n\n", ": ping\n\n".repeat(64 << 10)).repeat(EVENTS);
    let mut events = EventReader::new(stream.as_bytes());
    for _ in 0..EVENTS {
        assert_eq!(events.next_data().expect("an event").as_deref(), Some("event"));
    }
    assert_eq!(events.next_data().expect("the end"), None);
}
