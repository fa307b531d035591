//! Experiments on the virtual machines of the workspace, with results that can
//! be kept, plotted and compared.
//!
//! Every experiment is repeatable from its seed, apart from figures of real
//! time and memory. The command is the bench target `mesh`:
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
