//! Faults of files, with the position and the source line of each.

use std::fmt;
use std::fmt::Display;

use serde::Serialize;

use crate::check::write_problem;

/// One fault of a settings or configuration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file, as it was given or found.
    pub file: String,
    /// The line, counted from 1; 0 when the fault is of the whole file.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The length of the marked text in characters.
    pub width: usize,
    /// The path of the field; empty when the file is not YAML.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// The value found; empty when the field is absent.
    pub found: String,
    /// The accepted values.
    pub accepted: String,
    /// Where the value that this one contradicts is, as `FILE:LINE:COLUMN`.
    pub other: Option<String>,
    /// The source line.
    pub source: String,
}

impl Display for Fault {
    /// Writes the fault in one line, followed by the source line with carets
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
            let number = self.line.to_string();
            let margin = " ".repeat(number.len());
            write!(f, "\n{margin} |\n{number} | {}", self.source)?;
            // Tabs are kept, so that the carets stay under the marked text.
            let before = self.source.chars().take(self.column.saturating_sub(1));
            let indent: String = before.map(|c| if c == '\t' { c } else { ' ' }).collect();
            let rest = self.source.chars().count() + 1 - indent.len().min(self.source.len());
            let carets = "^".repeat(self.width.clamp(1, rest.max(1)));
            write!(f, "\n{margin} | {indent}{carets}")?;
        }
        Ok(())
    }
}

/// All faults of a file or a set, ordered by file and line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FaultList(Vec<Fault>);

impl FaultList {
    /// Returns the faults in order, without repetitions.
    pub fn new(mut faults: Vec<Fault>) -> FaultList {
        faults.sort();
        faults.dedup();
        FaultList(faults)
    }

    /// Returns the faults.
    pub fn faults(&self) -> &[Fault] {
        &self.0
    }
}

impl Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
