//! The page of the design size holds what its figures give.

use std::path::PathBuf;

use calicohoist_lab::scale::ScaleReport;
use calicohoist_lab::scale::capacity::{DESIGN, table};

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(file);
    std::fs::read_to_string(path).expect("the page and its figures are in the repository")
}

#[test]
fn the_page_holds_the_table_that_the_measured_slopes_give() {
    let report: ScaleReport =
        serde_json::from_str(&read("capacity/scale.json")).expect("a report of scale");
    let page = read("CAPACITY.md");
    assert!(page.contains(&table(&report, &DESIGN)), "run: calicohoist-lab capacity");
}

#[test]
fn other_slopes_give_another_table() {
    let mut report: ScaleReport =
        serde_json::from_str(&read("capacity/scale.json")).expect("a report of scale");
    let before = table(&report, &DESIGN);
    report.slopes.gateway_bytes.per_unit += 1_000.0;
    let after = table(&report, &DESIGN);
    assert_ne!(before, after);
    assert!(after.contains("27 KiB/s: **missed**"));
}
