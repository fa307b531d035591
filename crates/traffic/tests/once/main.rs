//! At-most-once execution of requests with an idempotency key (invariants I8 and
//! I9).

mod conformance;
mod cover;
mod fleet;
mod ledger;
mod runs;
mod support;
mod world;
