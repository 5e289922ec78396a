//! The operator's command.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(jackdawpulley::operation::ctl::main())
}
