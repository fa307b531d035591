//! Tests of the routing and admission decisions, on simulated time.

mod admission;
mod budget;
mod config;
mod intake;
mod link;
mod load;
mod placement;
mod reader;
mod state_table;
mod warmth;
