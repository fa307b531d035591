//! Tests of the decisions beside one target, with the time passed in.

mod admission;
mod book;
mod budget;
mod config;
mod intake;
mod link;
mod load;
mod placement;
mod reader;
mod warmth;
