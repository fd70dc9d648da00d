//! What was sent, answered and run, for `record.txt`.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    process,
    sync::{Mutex, PoisonError},
    time::Instant,
};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in the directory that the first argument names.
    pub fn create() -> Record {
        let directory = std::env::args().nth(1).unwrap_or_else(|| ".".into());
        match File::create(format!("{directory}/record.txt")) {
            Ok(file) => Record {
                started_at: Instant::now(),
                file: Mutex::new(file),
            },
            Err(cause) => {
                eprintln!("cannot write the record: {cause}");
                process::exit(2);
            }
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.at_ms(Instant::now())
    }

    pub fn at_ms(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.started_at).as_millis()).unwrap_or(0)
    }

    pub fn line(&self, text: impl Display) {
        let line = format!("{:>6} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
