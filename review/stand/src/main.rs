//! Stand-ins for clients, replicas, the operator and the platform, and the judges of the cases under `review/`.

mod client;
mod engine;
mod fleet;
mod http;
mod large;
mod left;
mod record;
mod replica;
mod setup;
mod stop;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;
use setup::Verdict;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("the record can't be written: {e}");
            return ExitCode::from(2);
        }
    };
    let watched = Arc::clone(&record);
    // The script ends the processes that are left then.
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.note("the case takes too long");
        watched.flush();
        std::process::exit(2);
    });
    record.note(format!("case {case}, disruption {has_trouble}"));
    let verdict = match case.as_str() {
        "stop" => stop::case(&record, has_trouble),
        "left" => left::case(&record, has_trouble),
        "large" => large::case(&record, has_trouble),
        other => Err(std::io::Error::other(format!("there is no case {other}"))),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Verdict::NotRun) => ("the case could not run".to_owned(), 2),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    record.note(&text);
    record.flush();
    println!("{text}");
    ExitCode::from(code)
}
