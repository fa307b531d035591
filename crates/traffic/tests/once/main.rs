//! At most once (invariants I8 and I9).

mod cover;
mod fleet;
mod ledger;
mod runs;
mod support;
mod world;
