//! What was sent, answered and run, one line each with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{:9.3} {line}", self.began.elapsed().as_secs_f64());
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}
