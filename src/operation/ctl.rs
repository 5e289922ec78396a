//! Command line of `jackdawctl`, the operators' command.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};

use crate::error::{Error, Result};
use crate::operation::command::Command;
use crate::units::{EditId, Millis, Version};

/// Exit status on success.
pub const EXIT_DONE: u8 = 0;
/// Exit status when the command failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit status for wrong arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit status when another edit was accepted first.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit status when the document has faults.
pub const EXIT_INVALID: u8 = 4;
/// Exit status when the outcome of an edit is unknown.
pub const EXIT_UNKNOWN: u8 = 5;

/// Arguments of `jackdawctl`.
#[derive(Debug, Parser)]
#[command(
    name = "jackdawctl",
    version,
    about = "Publishes and shows the configuration of a mesh"
)]
struct Args {
    /// Operator address of any daemon
    #[arg(
        long,
        env = "JACKDAW_DAEMON",
        default_value = "127.0.0.1:7004",
        global = true
    )]
    daemon: SocketAddr,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Check a document; needs no daemon
    Check {
        /// File with the document
        file: String,
    },
    /// Publish a document and wait for the verdict
    Apply {
        /// File with the document
        file: String,
        /// Version that the document is based on; the active one by default
        #[arg(long)]
        base: Option<Version>,
        /// Identifier of the edit; retrying with the same one is safe
        #[arg(long)]
        id: Option<EditId>,
        /// Replace the active configuration, even if the log has lost records unread
        #[arg(long, conflicts_with = "base")]
        force: bool,
    },
    /// Show the active configuration
    Show,
    /// Compare a document with the active configuration
    Diff {
        /// File with the document
        file: String,
    },
    /// Show daemons and versions of each data centre
    Status {
        /// Wait until this version is active on every daemon
        #[arg(long)]
        watch: Option<Version>,
        /// Longest wait, in milliseconds
        #[arg(long, default_value_t = Millis(30_000))]
        patience_ms: Millis,
    },
    /// Show the rollouts known to one daemon
    Rollouts,
    /// Show the teams with a quota, as one daemon knows them
    Teams,
    /// Dump the state of one daemon
    State {
        /// Operator address of the daemon; --daemon by default
        address: Option<SocketAddr>,
    },
    /// Ask one daemon to finish its calls and stop
    Drain {
        /// Operator address of the daemon
        address: SocketAddr,
    },
}

/// Runs the program `jackdawctl` with the arguments of this process.
///
/// Returns the exit status.
#[must_use]
pub fn main() -> u8 {
    main_from(std::env::args_os())
}

/// Runs the program with the given arguments, the program's name first.
///
/// Returns the exit status.
#[must_use]
pub fn main_from(args: impl Iterator<Item = std::ffi::OsString>) -> u8 {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() {
                EXIT_USAGE
            } else {
                EXIT_DONE
            };
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return EXIT_FAILED;
        }
    };
    match runtime.block_on(run(&args)) {
        Ok(()) => EXIT_DONE,
        Err(error) => {
            print_error(&args, &error);
            exit_status(&error)
        }
    }
}

fn print_error(args: &Args, error: &Error) {
    if args.json {
        println!("{}", serde_json::json!({ "error": error.to_string() }));
    }
    eprintln!("{error}");
    if let Error::Faults { faults } = error {
        for fault in faults {
            eprintln!("  {fault}");
        }
    }
}

const fn exit_status(error: &Error) -> u8 {
    match error {
        Error::Conflict { .. } => EXIT_CONFLICT,
        Error::Faults { .. } | Error::Document { .. } => EXIT_INVALID,
        Error::OutcomeUnknown { .. } => EXIT_UNKNOWN,
        _ => EXIT_FAILED,
    }
}

async fn run(args: &Args) -> Result<()> {
    let command = Command::new(args.daemon, args.json);
    match &args.verb {
        Verb::Check { file } => command.check(file),
        Verb::Apply {
            file,
            base,
            id,
            force,
        } => command.apply(file, *base, id.as_ref(), *force).await,
        Verb::Show => command.show().await,
        Verb::Diff { file } => command.diff(file).await,
        Verb::Status { watch, patience_ms } => command.status(*watch, patience_ms.duration()).await,
        Verb::Rollouts => command.rollouts().await,
        Verb::Teams => command.teams().await,
        Verb::State { address } => command.dump(address.unwrap_or(args.daemon)).await,
        Verb::Drain { address } => command.drain(*address).await,
    }
}
