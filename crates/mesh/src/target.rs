//! What the platform publishes of one target.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// One target, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identifies the target; a restart mostly gives a new one.
    pub id: SmolStr,
    /// The service that it answers for.
    pub service: SmolStr,
    /// Where it listens; only its own host reaches it there.
    pub address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: SmolStr,
    /// The requests that it runs at once.
    pub capacity: u32,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// How much longer it was cold when it registered.
    pub cold_left: Duration,
    /// Distinguishes the lives of a target that restarts under its old
    /// identity; `None` when it does not say.
    pub incarnation: Option<u64>,
}

impl TargetRecord {
    /// Whether both are the same life of the same target.
    pub fn same_life(&self, other: &TargetRecord) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}
