//! Senders and targets of one service on a virtual clock, for experiments with
//! load and with the way calls are handled.

pub mod fleet;
pub mod report;
pub mod worker;
pub mod world;
