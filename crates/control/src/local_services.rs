//! Adds services to the scope: those that run on this host, and those that
//! callers request.
//!
//! A daemon without a service's part cannot see that its host became a target
//! of the service. A relay has every part and replies with the services of the
//! requesting host.

use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::peer_request::Request;
use rand::Rng;
use smol_str::SmolStr;

use crate::fleet_state;
use crate::machine::ControlMachine;
use crate::machine::RequestPurpose;

/// The longest time between two requests for the services of this host. A
/// relay also opens a session to a new target's host, but that can get lost.
const LOCAL_SERVICES_INTERVAL: Duration = Duration::from_secs(300);

impl ControlMachine {
    /// Requests the services of this host from a relay, if that is due.
    pub(crate) fn request_local_services(&mut self) {
        if self.local_services_at.is_none_or(|at| at > self.now) || self.roles.relay {
            return;
        }
        let Some(peer) = self.relay_session() else {
            self.dial_relays();
            return;
        };
        let spread = LOCAL_SERVICES_INTERVAL.mul_f64(self.rng.random_range(0.5..1.0));
        self.local_services_at = Some(self.now + spread);
        self.send(
            peer,
            RequestPurpose::LocalServices,
            Request::Parts(Default::default()),
        );
        self.request_foreign_list(peer);
    }

    // Stores the parts of the services of this host, according to a relay. A part
    // that does not match the own index means that one of the two is outdated, so
    // the request is repeated soon.
    pub(crate) fn apply_local_services(&mut self, reply: &PartReply) {
        let mut stale = false;
        let mut stored = false;
        for part in &reply.parts {
            let Ok(digest) = PartDigest::try_from(part.digest.as_ref()) else {
                continue;
            };
            if self.parts.contains(digest) {
                continue;
            }
            let Some(digest) = self.parts.insert_message(part) else {
                continue;
            };
            let value = self.parts.get(digest).cloned().unwrap_or_default();
            match fleet_state::key_of(&value) {
                Some(key) if self.view.index().get(&key) == Some(digest) => {
                    self.missing_parts.swap_remove(&digest);
                    self.scope.note(&key, &value);
                    stored = true;
                }
                _ => {
                    self.parts.remove(digest);
                    stale = true;
                }
            }
        }
        if stored {
            if self.scope.refresh() {
                self.recompute_missing_parts();
            }
            self.rebuild_model();
        }
        if stale {
            let soon = self.now + Duration::from_secs(2);
            self.local_services_at = self.local_services_at.map(|at| at.min(soon));
        }
    }

    /// Adds a service that a call needs to the scope, and fetches its part if it
    /// is missing.
    pub(crate) fn service_requested(&mut self, service: SmolStr) {
        if self.scope.record_call(service, self.now) && self.scope.refresh() {
            self.recompute_missing_parts();
            if self.missing_parts.is_empty() {
                self.rebuild_model();
            }
            self.advance();
        }
    }
}
