//! Plays one case of the third review: `review-standins-3 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

#![recursion_limit = "256"]

mod engine;
mod frozen;
mod http;
mod leaving;
mod loaded;
mod missed;
mod opened;
mod record;
mod relay;
mod replica;
mod resumed;
mod site;
mod store;
mod twice;

use std::{
    path::Path,
    process::ExitCode,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// The time within which a script must end, with some to spare.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case has shown.
pub struct Outcome {
    /// What broke the rule, in words; empty if it held.
    pub broken: Vec<String>,
    /// What else is worth a line.
    pub notes: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-standins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(cause) => {
            eprintln!("cannot write {path}: {cause}");
            return ExitCode::from(2);
        }
    };
    let play = match case.as_str() {
        "missed" => missed::play,
        "twice" => twice::play,
        "frozen" => frozen::play,
        "relay" => relay::play,
        "loaded" => loaded::play,
        "leaving" => leaving::play,
        "opened" => opened::play,
        "resumed" => resumed::play,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let (sender, receiver) = mpsc::channel();
    let played = record.clone();
    thread::spawn(move || sender.send(play(&played, has_trouble)));
    let received = receiver.recv_timeout(LIMIT);
    site::kill_all();
    let Ok(played) = received else {
        record.write("the case did not end in time, or failed");
        return ExitCode::from(2);
    };
    match played {
        Err(cause) => {
            record.write(&format!("the case could not run: {cause}"));
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
        Ok(outcome) => {
            for line in outcome.notes.iter().chain(&outcome.broken) {
                record.write(line);
                println!("{line}");
            }
            let verdict = if outcome.broken.is_empty() {
                "the rule held"
            } else {
                "the rule was broken"
            };
            record.write(verdict);
            println!("{verdict}");
            ExitCode::from(u8::from(!outcome.broken.is_empty()))
        }
    }
}

/// Sleeps until `at`.
pub fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}
