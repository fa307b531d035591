//! The result of an experiment: named figures and curves.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// What one run of an experiment measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The name of the experiment.
    pub experiment: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the smaller experiment was run.
    pub quick: bool,
    /// The figures by name; names carry their unit.
    pub figures: IndexMap<String, f64>,
    /// The curves.
    pub curves: Vec<Curve>,
}

/// A plot of several series over one axis.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    /// The name, also of the plot's file.
    pub name: String,
    /// The label of the horizontal axis.
    pub x: String,
    /// The label of the vertical axis.
    pub y: String,
    /// Whether the vertical axis is logarithmic.
    pub logarithmic: bool,
    /// The points of each series.
    pub series: IndexMap<String, Vec<(f64, f64)>>,
}

impl Curve {
    /// Makes a curve without points.
    pub fn new(name: &str, x: &str, y: &str) -> Curve {
        Curve {
            name: name.into(),
            x: x.into(),
            y: y.into(),
            logarithmic: false,
            series: IndexMap::new(),
        }
    }

    /// Makes the vertical axis logarithmic; all values must be above 0.
    pub fn logarithmic(self) -> Curve {
        Curve {
            logarithmic: true,
            ..self
        }
    }

    /// Adds a point to a series.
    pub fn add(&mut self, series: &str, x: f64, y: f64) {
        self.series.entry(series.into()).or_default().push((x, y));
    }
}

impl ExperimentResult {
    /// Makes an empty result.
    pub fn new(experiment: &str, seed: u64, quick: bool) -> ExperimentResult {
        ExperimentResult {
            experiment: experiment.into(),
            seed,
            quick,
            figures: IndexMap::new(),
            curves: Vec::new(),
        }
    }

    /// Reads a result file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is no result.
    pub fn read(path: &Path) -> anyhow::Result<ExperimentResult> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{} is no result", path.display()))
    }

    /// Writes `EXPERIMENT.json` into a directory.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        let path = folder.join(format!("{}.json", self.experiment));
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(&path, text + "\n")
            .with_context(|| format!("cannot write {}", path.display()))
    }

    /// Returns the figures as a table.
    pub fn table(&self) -> String {
        let mut table = format!("{}, seed {}\n", self.experiment, self.seed);
        for (name, value) in &self.figures {
            let _ = writeln!(table, "{name:<64} {value:>14.3}");
        }
        table
    }
}
