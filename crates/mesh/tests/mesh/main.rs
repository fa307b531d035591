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
mod long_answers;
mod placement;
mod quota;
mod quota_load;
mod reader;
mod retry_budget;
mod slow_links;
mod state_position;
mod state_table;
mod stop_plan;
mod support;
mod suspect;
mod suspect_load;
mod target_speed;
mod tenant_directory;
mod uneven_targets;
