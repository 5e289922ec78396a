//! Stand-ins and cases of the review: `review-standin CASE RECORD`, with `TROUBLE=0` for the same without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod departed;
mod http;
mod late;
mod pipeline;
mod quota;
mod record;
mod reset;
mod store;
mod system;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "departed" => departed::run(&record, with_trouble),
        "late" => late::run(&record, with_trouble),
        "quota" => quota::run(&record, with_trouble),
        "reset" => reset::run(&record, with_trouble),
        _ => Err(format!("no case is named {case}")),
    };
    match result {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.say(&format!("the case could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}
