//! The command line of the product explains itself.

use std::process::{Command, Output};

const SUBCOMMANDS: [&str; 11] = [
    "store", "gateway", "serve", "explain", "check", "get", "apply", "delete", "watch", "status",
    "drain",
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_calicohoist")).args(arguments).output().expect("runs")
}

fn assert_help(arguments: &[&str]) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    assert!(text.contains("Usage:"), "{arguments:?}: {text}");
}

#[test]
fn help_of_the_program_names_every_subcommand() {
    assert_help(&["--help"]);
    let output = run(&["--help"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for subcommand in SUBCOMMANDS {
        assert!(text.contains(subcommand), "{subcommand} is missing in {text}");
    }
}

#[test]
fn every_subcommand_has_help() {
    for subcommand in SUBCOMMANDS {
        assert_help(&[subcommand, "--help"]);
    }
}

#[test]
fn shells_get_completion() {
    for style in ["bash", "zsh", "fish"] {
        let output = run(&[&format!("--bpaf-complete-style-{style}")]);
        assert!(output.status.success(), "{style}: {output:?}");
        assert!(!output.stdout.is_empty(), "{style}");
    }
}
