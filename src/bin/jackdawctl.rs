//! Command for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(jackdawpulley::operation::ctl::main())
}
