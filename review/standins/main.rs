//! Plays the scripted cases of the review: `scene CASE RECORD`.
//!
//! It starts the project's daemons with the command of the deploy file, and plays the
//! platform's store, the workers and the requesters itself, on loopback addresses.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;
#[path = "../4/case.rs"]
mod case_4;
#[path = "../5/case.rs"]
mod case_5;
mod cases;
mod fleet;
mod http;
mod record;
mod requester;
mod store;
mod worker;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: scene CASE RECORD");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, trouble {with_trouble}"));
    let outcome = cases::play(case, with_trouble, &record);
    let code = match &outcome {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match outcome {
        Ok(Verdict::Held) => record.note("RESULT the rule held".to_owned()),
        Ok(Verdict::Broken) => record.note("RESULT the rule was broken".to_owned()),
        Err(problem) => record.note(format!("RESULT the case could not run: {problem}")),
    }
    record.print_result();
    ExitCode::from(code)
}
