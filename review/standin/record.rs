//! The record of a case: one line an event, in milliseconds since the start of the case.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().expect("no thread panics").push((self.elapsed(), line.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:>9.3} ms  {line}", self.elapsed().as_secs_f64() * 1000.0);
        self.add(line);
    }

    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("no thread panics").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, line) in lines {
            writeln!(file, "{:>9.3} ms  {line}", at.as_secs_f64() * 1000.0)?;
        }
        file.flush()
    }
}
