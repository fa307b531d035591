//! Tests of the routing and admission decisions, on simulated time.

mod admission;
mod body_admission;
mod cold_rate_limit;
mod config;
mod cross_region_budget;
mod declared_rate_limit;
mod fleet;
mod freshness;
mod leaving_targets;
mod load;
mod offers;
mod placement;
mod reader;
mod retry_budget;
mod return_order;
mod shares;
mod slow_links;
mod state_position;
mod state_table;
mod stop_plan;
mod support;
mod suspect;
mod suspect_load;
mod waiting;
