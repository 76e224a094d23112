//! Checks that the events in the code match the catalogue docs/EVENTS.md.

use std::collections::BTreeSet;

use calicohoist_telemetry::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// Returns code, name and level of each row of the catalogue's tables.
fn catalogue_rows() -> BTreeSet<String> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| CH"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        format!("{} {} {}", cells[1], cells[2], cells[3])
    })
    .collect()
}

#[test]
fn events_match_the_catalogue() {
    let in_code: BTreeSet<String> = Event::ALL
        .iter()
        .map(|event| format!("{event} {} {}", event.name(), event.level().as_str().to_lowercase()))
        .collect();
    assert_eq!(in_code, catalogue_rows());
}

#[test]
fn event_codes_are_unique() {
    let codes: BTreeSet<u16> = Event::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(codes.len(), Event::ALL.len());
}
