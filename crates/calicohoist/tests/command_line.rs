//! Help texts and shell completion of the command line.

mod support;

const PROGRAM: &str = env!("CARGO_BIN_EXE_calicohoist");
const SUBCOMMANDS: [&str; 11] = [
    "store", "gateway", "serve", "explain", "check", "get", "apply", "delete", "watch", "status",
    "drain",
];

#[test]
fn help_lists_every_subcommand() {
    support::assert_help_lists_subcommands(PROGRAM, &SUBCOMMANDS);
}

#[test]
fn shell_completion_is_available() {
    support::assert_completion(PROGRAM);
}
