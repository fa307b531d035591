//! The connections to the targets of this host, by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;

/// The clients of the targets of this host.
#[derive(Default)]
pub struct TargetClients {
    clients: Mutex<HashMap<SocketAddr, TargetClient>>,
}

impl TargetClients {
    /// Returns the client of a target; the first use makes it.
    pub fn get(&self, address: SocketAddr) -> TargetClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        client
            .or_insert_with(|| TargetClient::new(address, TargetLimits::default()))
            .clone()
    }

    /// Takes over the targets of a version with the connections that each
    /// accepts, and forgets all others.
    pub fn configure(&self, targets: &[(SocketAddr, u32)]) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| targets.iter().any(|(kept, _)| kept == address));
        for (address, connections) in targets {
            clients.entry(*address).or_insert_with(|| {
                let limits = TargetLimits {
                    connections: *connections as usize,
                    ..TargetLimits::default()
                };
                TargetClient::new(*address, limits)
            });
        }
    }
}
