//! The command line of the product explains itself.

mod support;

const PROGRAM: &str = env!("CARGO_BIN_EXE_calicohoist");
const SUBCOMMANDS: [&str; 11] = [
    "store", "gateway", "serve", "explain", "check", "get", "apply", "delete", "watch", "status",
    "drain",
];

#[test]
fn every_subcommand_is_named_and_has_help() {
    support::assert_everything_has_help(PROGRAM, &SUBCOMMANDS);
}

#[test]
fn shells_get_completion() {
    support::assert_completion(PROGRAM);
}
