//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
    started: Instant,
}

struct Inner {
    file: BufWriter<File>,
    results: Vec<String>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let inner = Inner {
            file: BufWriter::new(File::create(path)?),
            results: Vec::new(),
        };
        Ok(Record {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line of detail.
    pub fn line(&self, text: String) {
        let at = self.now().as_millis();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{at:>6} {text}");
    }

    /// Writes a line that is also printed at the end.
    pub fn note(&self, text: String) {
        self.line(text.clone());
        self.inner.lock().unwrap().results.push(text);
    }

    pub fn print_result(&self) {
        let mut inner = self.inner.lock().unwrap();
        let _ = inner.file.flush();
        for result in &inner.results {
            println!("{result}");
        }
    }
}
