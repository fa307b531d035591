//! Tests of the routing and admission decisions, on simulated time.

mod admission;
mod body_admission;
mod budget;
mod cold_rate_limit;
mod config;
mod cross_region_budget;
mod load;
mod placement;
mod reader;
mod state_table;
