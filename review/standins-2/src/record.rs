//! The record of a run: what was sent, answered and run, with the time of each.

use std::{
    fs, io,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The lines of the record, which all parts of a case add to.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line with the seconds since the start.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().expect("no holder panics");
        lines.push(format!("{at:8.3} s  {}", text.as_ref()));
    }

    /// Writes all lines to a file.
    pub fn save(&self, path: &str) -> io::Result<()> {
        let lines = self.lines.lock().expect("no holder panics");
        fs::write(path, lines.join("\n") + "\n")
    }
}
