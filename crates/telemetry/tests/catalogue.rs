//! The events in the code and those in docs/EVENTS.md are the same.

use std::collections::BTreeSet;

use calicohoist_telemetry::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// Rows of the catalogue's tables: code, name and level.
fn catalogued() -> BTreeSet<String> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| CH"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        format!("{} {} {}", cells[1], cells[2], cells[3])
    })
    .collect()
}

#[test]
fn every_event_is_catalogued_and_every_row_is_an_event() {
    let in_code: BTreeSet<String> = Event::ALL
        .iter()
        .map(|event| format!("{event} {} {}", event.name(), event.level().as_str().to_lowercase()))
        .collect();
    assert_eq!(in_code, catalogued());
}

#[test]
fn numbers_are_unique() {
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
