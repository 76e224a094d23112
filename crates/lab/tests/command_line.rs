//! Command line of `calicohoist-lab`: help, shell completion and defaults.

#[path = "../../calicohoist/tests/support/mod.rs"]
mod support;

use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_calicohoist-lab");
const SUBCOMMANDS: [&str; 7] = ["demo", "bench", "sim", "scale", "capacity", "backends", "fleet"];

#[test]
fn every_subcommand_has_help() {
    support::assert_help_lists_subcommands(PROGRAM, &SUBCOMMANDS);
}

#[test]
fn shell_completion_is_generated() {
    support::assert_completion(PROGRAM);
}

#[test]
fn capacity_reads_the_recorded_slopes_by_default() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let output = Command::new(PROGRAM).arg("capacity").current_dir(root).output().expect("runs");
    assert!(output.status.success(), "{output:?}");
}
