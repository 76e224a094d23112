//! Entry point of the `calicohoist` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    calicohoist::cli::run()
}
