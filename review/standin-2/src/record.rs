//! The record of a run, which its script keeps as `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the file that the first argument names.
    pub fn open() -> Result<Self, String> {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(path).map_err(|e| e.to_string())?;
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self
            .file
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} {text}", self.began.elapsed().as_secs_f64());
    }
}
