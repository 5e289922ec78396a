//! The daemon beside each target.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(jackdawpulley::daemon::main())
}
