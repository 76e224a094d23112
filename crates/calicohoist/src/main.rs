//! The `calicohoist` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    calicohoist::cli::run()
}
