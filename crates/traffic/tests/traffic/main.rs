//! Tests of the request path: time is passed in, and all seeds are fixed.

mod admission;
mod fleet;
mod headers;
mod limits;
mod picking;
mod retries;
mod sessions;
mod snapshots;
mod suspects;
