//! Runs a case of the review: `stand-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` in the environment the case runs without its disturbance.

mod cases;
mod fleet;
mod http;
mod operator;
mod proxy;
mod record;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = Record::create(Path::new(path)).and_then(|record| {
        record.line(format!("case {case}, disturbance: {has_trouble}"));
        let verdict = cases::run(case, has_trouble, &record);
        match &verdict {
            Ok(Verdict::Held) => record.line("the rule held"),
            Ok(Verdict::Broken(how)) => record.line(format!("the rule was broken: {how}")),
            Err(e) => record.line(format!("the case couldn't run: {e}")),
        }
        verdict
    });
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(how)) => {
            println!("broken: {how}");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
