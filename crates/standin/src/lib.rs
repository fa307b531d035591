//! Placeholder.

pub mod virtual_fleet;
