//! The result of an experiment: named figures and curves.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The figures and curves of one run of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The name of the experiment, as on the command line.
    pub experiment: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the smaller experiment was run, with `--quick`.
    pub quick: bool,
    /// The figures by name. The name contains the unit.
    pub figures: IndexMap<String, f64>,
    /// The curves to plot, one file each.
    pub curves: Vec<Curve>,
}

/// A plot of one or more series with common axes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    /// The name of the curve, which is part of the plot's file name.
    pub name: String,
    /// The label of the horizontal axis.
    pub x: String,
    /// The label of the vertical axis.
    pub y: String,
    /// Whether the vertical axis is logarithmic.
    pub logarithmic: bool,
    /// The points (x, y) of each series, by the series' name.
    pub series: IndexMap<String, Vec<(f64, f64)>>,
}

impl Curve {
    /// Creates a curve without points and with linear axes.
    pub fn new(name: &str, x: &str, y: &str) -> Curve {
        Curve {
            name: name.into(),
            x: x.into(),
            y: y.into(),
            logarithmic: false,
            series: IndexMap::new(),
        }
    }

    /// Returns the curve with a logarithmic vertical axis, for which all values
    /// must be above 0.
    pub fn logarithmic(self) -> Curve {
        Curve {
            logarithmic: true,
            ..self
        }
    }

    /// Adds a point to a series, which is created if it does not exist.
    pub fn add(&mut self, series: &str, x: f64, y: f64) {
        self.series.entry(series.into()).or_default().push((x, y));
    }
}

impl ExperimentResult {
    /// Creates a result without figures or curves.
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
    /// Fails if the file cannot be read or is not a result.
    pub fn read(path: &Path) -> anyhow::Result<ExperimentResult> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{} is not a result", path.display()))
    }

    /// Writes the result to `EXPERIMENT.json` in a directory.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        let path = folder.join(format!("{}.json", self.experiment));
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(&path, text + "\n")
            .with_context(|| format!("cannot write {}", path.display()))
    }

    /// Returns the experiment's name and seed and a table of the figures.
    pub fn table(&self) -> String {
        let mut table = format!("{}, seed {}\n", self.experiment, self.seed);
        for (name, value) in &self.figures {
            let _ = writeln!(table, "{name:<64} {value:>14.3}");
        }
        table
    }
}
