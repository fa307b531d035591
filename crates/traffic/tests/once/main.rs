//! At most once (invariants I8 and I9).

mod cover;
mod ledger;
mod support;
