//! What every command line of the repository must do.

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

/// `--help` names every subcommand, and every subcommand has a help of its own.
pub fn assert_everything_has_help(program: &str, subcommands: &[&str]) {
    let text = assert_help(program, &["--help"]);
    for subcommand in subcommands {
        assert!(text.contains(subcommand), "{subcommand} is missing in {text}");
        assert_help(program, &[subcommand, "--help"]);
    }
}

/// Shells get completion.
pub fn assert_completion(program: &str) {
    for style in ["bash", "zsh", "fish"] {
        let output = run(program, &[&format!("--bpaf-complete-style-{style}")]);
        assert!(output.status.success(), "{style}: {output:?}");
        assert!(!output.stdout.is_empty(), "{style}");
    }
}
