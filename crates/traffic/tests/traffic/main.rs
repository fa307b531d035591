//! Tests of the request path. Time is an argument, and all seeds are fixed.

mod admission;
mod fleet;
mod headers;
mod limits;
mod picking;
mod retries;
mod sessions;
mod snapshots;
mod suspects;
