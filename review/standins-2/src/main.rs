//! The cases of the second review that are scripts. `run.sh` of a case starts this program
//! with the name of the case, a temporary folder, and the path of its record.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod deadly;
mod engine;
mod http;
mod plain;
mod record;
mod site;
mod stop;
mod store;
mod traffic;
mod verdict;

use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Finding {
    Broken,
    Held,
}

/// What each case gets.
pub struct Context {
    /// A temporary folder for settings and logs.
    pub folder: String,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    pub record: Record,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, name, address, born_ms] = &arguments[..]
        && role == "engine"
    {
        return traffic::serve_engine(name, address, born_ms);
    }
    let [_, case, folder, path] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let context = Context {
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
        record: Record::new(),
    };
    let found = match case.as_str() {
        "stop" => stop::run(&context),
        "crash" => crash::run(&context),
        "verdict" => verdict::run(&context),
        "deadly" => deadly::run(&context, &deadly::SHORT),
        "sessions" => deadly::run(&context, &deadly::SESSIONS),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    let (text, code) = match found {
        Ok(Finding::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Finding::Held) => ("the rule held".to_owned(), 0),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    context.record.add(&text);
    println!("{text}");
    if let Err(cause) = context.record.save(path) {
        eprintln!("the record cannot be written: {cause}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
