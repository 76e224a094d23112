//! `docs/CAPACITY.md` matches the recorded slopes.

use std::path::PathBuf;

use calicohoist_lab::scale::ScaleReport;
use calicohoist_lab::scale::capacity::{DESIGN_SIZE, table};

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(file);
    std::fs::read_to_string(path).expect("the page and its figures are in the repository")
}

#[test]
fn capacity_page_matches_recorded_slopes() {
    let report: ScaleReport =
        serde_json::from_str(&read("capacity/scale.json")).expect("a report of scale");
    let page = read("CAPACITY.md");
    assert!(page.contains(&table(&report, &DESIGN_SIZE)), "run: calicohoist-lab capacity");
}

#[test]
fn table_changes_with_the_slopes() {
    let mut report: ScaleReport =
        serde_json::from_str(&read("capacity/scale.json")).expect("a report of scale");
    let before = table(&report, &DESIGN_SIZE);
    report.slopes.gateway_bytes.per_unit += 1_000.0;
    let after = table(&report, &DESIGN_SIZE);
    assert_ne!(before, after);
    assert!(after.contains("27 KiB/s: **missed**"));
}
