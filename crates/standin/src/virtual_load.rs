//! A discrete-event simulation of the senders and targets of one service, for
//! experiments that compare ways of handling calls under load.

pub mod fleet;
pub mod report;
pub mod simulation;
pub mod worker;
