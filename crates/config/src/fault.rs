//! Faults in files, each with its position and source line.

use std::fmt;
use std::fmt::Display;

use serde::Serialize;

use crate::check::write_problem;

/// One fault in a settings or configuration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The path of the file, as passed to the loader or found in the directory.
    pub file: String,
    /// The line, counted from 1; 0 when the fault concerns the whole file.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The length of the marked text in characters.
    pub width: usize,
    /// The path of the field; empty when the file cannot be parsed.
    pub field: String,
    /// What is wrong with the value, as a short phrase.
    pub problem: String,
    /// The value found; empty when the field is absent.
    pub found: String,
    /// The accepted values.
    pub accepted: String,
    /// The position of the value that this one conflicts with, as
    /// `FILE:LINE:COLUMN`.
    pub other: Option<String>,
    /// The text of the line in the file.
    pub source: String,
}

impl Display for Fault {
    /// Formats the fault as one line, followed by the source line with carets
    /// under the marked text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        f.write_str(": ")?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write_problem(f, &self.problem, &self.found, &self.accepted)?;
        if let Some(other) = &self.other {
            write!(f, "; see {other}")?;
        }
        if self.line > 0 {
            self.write_source(f)?;
        }
        Ok(())
    }
}

impl Fault {
    fn write_source(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.column.saturating_sub(1);
        let start = before.saturating_sub(MAX_LENGTH_BEFORE_MARK);
        let shown: Vec<char> = self
            .source
            .chars()
            .skip(start)
            .take(MAX_SOURCE_LENGTH)
            .collect();
        let mark = (before - start).min(shown.len());
        let number = self.line.to_string();
        let margin = " ".repeat(number.len());
        write!(f, "\n{margin} |\n{number} | {}", String::from_iter(&shown))?;
        // Tabs are copied, so that the carets line up with the marked text.
        let to_indent = |c: &char| if *c == '\t' { '\t' } else { ' ' };
        let indent: String = shown[..mark].iter().map(to_indent).collect();
        let carets = "^".repeat(self.width.clamp(1, (shown.len() - mark).max(1)));
        write!(f, "\n{margin} | {indent}{carets}")
    }
}

/// The maximum length in characters of a source line in a message, so that it
/// fits into a few lines of a terminal.
const MAX_SOURCE_LENGTH: usize = 160;

/// The maximum length in characters of the source text before the marked text.
const MAX_LENGTH_BEFORE_MARK: usize = 100;

/// All faults of a file or a set, ordered by file and line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FaultList(Vec<Fault>);

impl FaultList {
    /// Sorts the faults and removes duplicates.
    pub fn new(mut faults: Vec<Fault>) -> FaultList {
        faults.sort();
        faults.dedup();
        FaultList(faults)
    }

    /// Returns the faults, ordered by file and line.
    pub fn faults(&self) -> &[Fault] {
        &self.0
    }
}

impl Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
