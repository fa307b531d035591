//! At-most-once execution of requests with an idempotency key (invariants I8 and
//! I9).

mod conformance;
mod handlers;
mod ledger;
mod ownership;
mod random_faults;
mod simulation;
mod support;
