//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            file,
            began_at: Instant::now(),
        })
    }

    /// Writes a line with the time in seconds since the start.
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // A full disk shows in the record itself.
        let _ = writeln!(
            file,
            "{:8.3}  {text}",
            self.began_at.elapsed().as_secs_f64()
        );
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began_at).as_secs_f64()
    }
}
