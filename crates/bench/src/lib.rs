//! Experiments on simulated fleets and services, with results that are written to
//! files, plotted and compared.
//!
//! The same seed gives the same results, apart from figures of real time. The
//! command is the bench target `mesh`:
//!
//! ```text
//! cargo bench -p radishgauge-bench --bench mesh -- torn --seed 1
//! ```

pub mod command;
pub mod compare;
pub mod distribution;
pub mod overload;
pub mod plot;
pub mod result;
pub mod torn;
