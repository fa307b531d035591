//! The memory for what callers, targets and other daemons make this daemon hold.
//!
//! All budgets share one pool, so that their sum stays within the memory of the process
//! while each of them may be used when the others are not.

use std::sync::Arc;

use radishgauge_net::BodyBudget;
use radishgauge_net::ByteBudget;
use radishgauge_net::CallerBudgets;
use radishgauge_platform::client_limits::ClientLimits;

/// The budgets of one daemon.
#[derive(Debug)]
pub struct DaemonMemory {
    /// The memory for the bodies of requests, of callers and of other daemons.
    pub bodies: Arc<BodyBudget>,
    /// The memory for the answers of targets and of other daemons, until they have been
    /// written.
    pub answers: Arc<ByteBudget>,
    /// The memory for messages of other daemons.
    pub messages: ByteBudget,
    /// The memory for long heads of callers' requests.
    heads: Arc<ByteBudget>,
    /// The memory for connections of callers.
    connections: Arc<ByteBudget>,
}

impl DaemonMemory {
    /// Returns the unused budgets of a process that may use `memory` bytes.
    pub fn new(limits: &ClientLimits, memory: usize) -> DaemonMemory {
        let bounds = limits.memory_bounds(memory);
        let pool = Arc::new(ByteBudget::new(bounds.together));
        // Contents leave a part of the pool to connections.
        let contents = ByteBudget::within(Arc::clone(&pool), bounds.contents_together);
        let contents = Arc::new(contents);
        let [bodies, answers, messages, heads] = bounds.contents.map(|bound| bound.bytes);
        let budget = |bytes| ByteBudget::within(Arc::clone(&contents), bytes);
        DaemonMemory {
            bodies: Arc::new(BodyBudget::new(bodies, Arc::clone(&contents))),
            answers: Arc::new(budget(answers)),
            messages: budget(messages),
            heads: Arc::new(budget(heads)),
            connections: Arc::new(ByteBudget::within(pool, bounds.connections.bytes)),
        }
    }

    /// Returns the memory for what callers make the daemon hold besides bodies.
    pub fn of_callers(&self) -> CallerBudgets {
        CallerBudgets {
            heads: Arc::clone(&self.heads),
            connections: Arc::clone(&self.connections),
            answers: Arc::clone(&self.answers),
        }
    }
}
