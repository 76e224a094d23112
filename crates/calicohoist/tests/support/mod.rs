//! Assertions shared by the command line tests of all binaries.

use std::process::{Command, Output};

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().expect("runs")
}

fn assert_help(program: &str, arguments: &[&str]) -> String {
    let output = run(program, arguments);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    assert!(text.contains("Usage:"), "{arguments:?}: {text}");
    text
}

/// Asserts that `--help` lists every subcommand and that each subcommand has a help text.
pub fn assert_help_lists_subcommands(program: &str, subcommands: &[&str]) {
    let text = assert_help(program, &["--help"]);
    for subcommand in subcommands {
        assert!(text.contains(subcommand), "{subcommand} is missing in {text}");
        assert_help(program, &[subcommand, "--help"]);
    }
}

/// Asserts that completion scripts are generated for all supported shells.
pub fn assert_completion(program: &str) {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(program, &[&format!("--bpaf-complete-style-{shell}")]);
        assert!(output.status.success(), "{shell}: {output:?}");
        assert!(!output.stdout.is_empty(), "{shell}");
    }
}
