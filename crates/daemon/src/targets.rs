//! The HTTP clients of the targets on this host, by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;

/// The HTTP clients of the targets on this host.
#[derive(Default)]
pub struct TargetClients {
    clients: Mutex<HashMap<SocketAddr, TargetClient>>,
}

impl TargetClients {
    /// Returns the client of a target, creating it on first use.
    pub fn get(&self, address: SocketAddr) -> TargetClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        client
            .or_insert_with(|| TargetClient::new(address, TargetLimits::default()))
            .clone()
    }

    /// Replaces the clients by those of the given targets, each with the maximum
    /// number of its connections; a client that exists already is not changed.
    pub fn configure(&self, targets: &[(SocketAddr, u32)]) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| targets.iter().any(|(listed, _)| listed == address));
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
