//! `jackdaw-trial`: runs trials and measurements on loopback, and prints their reports.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use jackdaw_trial::calls::{self, options};
use jackdaw_trial::measure::{converge, fleet, overhead, scale};
use jackdaw_trial::stand_in::{log, target};
use jackdaw_trial::{load, path};
use strum::VariantArray;

#[derive(Debug, Parser)]
#[command(
    name = "jackdaw-trial",
    version,
    about = "Trials and measurements with real processes"
)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Smoke trial, end to end
    Path,
    /// Convergence time and control traffic of each delivery mode
    Converge(converge::Args),
    /// Calls under a fault, with the baseline policies and the default ones
    Calls(options::Args),
    /// Latency added by daemons, and calls per second and core
    Overhead(overhead::Args),
    /// Simulation of overload under each policy, in virtual time
    Load(load::Args),
    /// CPU time and memory for a large view and document
    Scale(scale::Args),
    /// Time until all daemons of a fleet know a change of its members, in virtual time
    Fleet(fleet::Args),
    /// Run the stand-in for the platform's log
    Log(log::Args),
    /// Run a stand-in target
    Target(target::Args),
    /// Run a daemon; takes its flags
    #[command(disable_help_flag = true)]
    Daemon {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// Run the operator's command; takes its flags
    #[command(disable_help_flag = true)]
    Ctl {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    match Args::parse().verb {
        Verb::Daemon { args } => {
            let args = std::iter::once(OsString::from("jackdawpulley")).chain(args);
            ExitCode::from(jackdawpulley::daemon::main_from(args))
        }
        Verb::Ctl { args } => {
            let args = std::iter::once(OsString::from("jackdawctl")).chain(args);
            ExitCode::from(jackdawpulley::operation::ctl::main_from(args))
        }
        verb => {
            let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
            runtime.block_on(run(verb))
        }
    }
}

async fn run(verb: Verb) -> ExitCode {
    let program = std::env::current_exe().expect("the program has a path");
    match verb {
        Verb::Path => {
            let report = path::run(program).await;
            println!(
                "{}",
                serde_json::to_string(&report).expect("plain data is JSON")
            );
            if report.passed {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Verb::Converge(args) => {
            for delivery in converge::DELIVERIES {
                let report = converge::run(program.clone(), &args, delivery).await;
                println!(
                    "{}",
                    serde_json::to_string(&report).expect("plain data is JSON")
                );
            }
            ExitCode::SUCCESS
        }
        Verb::Calls(args) => {
            if !args.no_baseline {
                print(&calls::run(program.clone(), &args, calls::Policy::Baseline).await);
            }
            let report = calls::run(program, &args, calls::Policy::Default).await;
            print(&report);
            if report.counts.clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Verb::Overhead(args) => {
            print(&overhead::run(program, &args).await);
            ExitCode::SUCCESS
        }
        Verb::Load(args) => compare(&args),
        Verb::Scale(args) => {
            print(&scale::run(&args));
            ExitCode::SUCCESS
        }
        Verb::Fleet(args) => measure_fleet(&args),
        Verb::Log(args) => {
            log::run(args).await;
            ExitCode::SUCCESS
        }
        Verb::Target(args) => {
            target::run(args).await;
            ExitCode::SUCCESS
        }
        Verb::Daemon { .. } | Verb::Ctl { .. } => ExitCode::FAILURE,
    }
}

/// Simulates the same load under every policy; prints a table and a line of JSON for each, and draws a
/// plot if requested.
fn compare(args: &load::Args) -> ExitCode {
    let policies = load::Policy::VARIANTS.iter();
    let reports: Vec<load::Report> = policies.map(|policy| load::run(args, *policy)).collect();
    print!("{}", load::table(&reports));
    for report in &reports {
        print(report);
    }
    let path = args.plot.as_ref();
    finish_plot(path.map(|path| load::plot::draw(path, &reports)))
}

/// Measures each size of the fleet; prints a line of JSON for each, and draws a plot if requested.
fn measure_fleet(args: &fleet::Args) -> ExitCode {
    let sizes = args.daemons.iter();
    let measure = |daemons: &usize| {
        let report = fleet::run(args, *daemons);
        print(&report);
        report
    };
    let reports: Vec<fleet::Report> = sizes.map(measure).collect();
    let path = args.plot.as_ref();
    finish_plot(path.map(|path| fleet::plot::draw(path, &reports)))
}

fn finish_plot(drawn: Option<Result<(), String>>) -> ExitCode {
    if let Some(Err(problem)) = drawn {
        eprintln!("{problem}; choose a file that can be written");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print<T: serde::Serialize>(report: &T) {
    println!(
        "{}",
        serde_json::to_string(report).expect("plain data is JSON")
    );
}
