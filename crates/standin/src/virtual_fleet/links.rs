//! Delivery of messages, dials and platform calls in the virtual fleet.

use std::time::Duration;

use prost::Message;
use radishgauge_control::ControlAction;
use radishgauge_control::ControlEvent;
use radishgauge_control::ControlMachine;
use radishgauge_control::PeerKey;
use radishgauge_control::PeerLink;
use radishgauge_control::PlatformAnswer;
use radishgauge_control::event::PeerFailure;
use radishgauge_control::event::PlatformFailure;
use radishgauge_schema::peer::peer_reply::Reply;
use rand::Rng;
use std::net::SocketAddr;

use crate::virtual_fleet::CROSS_REGION_LATENCY;
use crate::virtual_fleet::FAILURE_TIMEOUT;
use crate::virtual_fleet::PACKET_OVERHEAD;
use crate::virtual_fleet::ProcessGeneration;
use crate::virtual_fleet::REGION_LATENCY;
use crate::virtual_fleet::Session;
use crate::virtual_fleet::Step;
use crate::virtual_fleet::VirtualFleet;
use crate::virtual_fleet::platform::Watch;

impl VirtualFleet {
    pub(super) fn apply(&mut self, generation: ProcessGeneration, action: ControlAction) {
        let host = generation.0;
        match action {
            ControlAction::ReadPlatform { id, key } => {
                let watch = Watch {
                    caller: generation,
                    id,
                    key,
                    known: None,
                    until: self.now,
                };
                self.call_platform(watch, false);
            }
            ControlAction::WatchPlatform {
                id,
                key,
                known,
                wait,
            } => {
                let until = self.now + wait;
                let watch = Watch {
                    caller: generation,
                    id,
                    key,
                    known,
                    until,
                };
                self.call_platform(watch, true);
            }
            ControlAction::Dial { address } => {
                let target = self.addresses.get(&address).copied();
                let wait = target.map_or(REGION_LATENCY, |target| self.latency(host, target));
                self.push(wait, Step::Connect(generation, address));
            }
            ControlAction::Drop { peer } => {
                if let Some(session) = self.hosts[host].sessions.remove(peer) {
                    let wait = self.latency(host, session.remote.0);
                    self.close(session, wait);
                }
            }
            ControlAction::Send { peer, id, request } => {
                let Some(session) = self.hosts[host].sessions.get(peer).copied() else {
                    let result = Err(PeerFailure::Closed);
                    let event = Box::new(ControlEvent::Reply { id, result });
                    self.push(Duration::ZERO, Step::Event(generation, event));
                    return;
                };
                self.deliver(host, session.remote, request.encoded_len(), || {
                    ControlEvent::Request {
                        peer: session.key,
                        id,
                        request: request.clone(),
                    }
                });
            }
            ControlAction::Reply { peer, id, reply } => {
                let Some(session) = self.hosts[host].sessions.get(peer).copied() else {
                    return;
                };
                if matches!(
                    reply.reply,
                    Some(Reply::Delta(_) | Reply::Pages(_) | Reply::Parts(_))
                ) {
                    self.hosts[session.remote.0].payload += reply.encoded_len() as u64;
                }
                self.deliver(host, session.remote, reply.encoded_len(), || {
                    ControlEvent::Reply {
                        id,
                        result: Ok(reply.clone()),
                    }
                });
            }
            ControlAction::Publish(fleet_state) => self.check(host, fleet_state),
            ControlAction::Log(log) => {
                if self.keep_logs {
                    self.hosts[host].logs.push(log);
                }
            }
        }
    }

    fn deliver<F>(&mut self, from: usize, to: ProcessGeneration, length: usize, event: F)
    where
        F: Fn() -> ControlEvent,
    {
        let bytes = (length + PACKET_OVERHEAD) as u64;
        self.hosts[from].bytes += bytes;
        let (sender_domain, receiver_domain) =
            (self.spec.domain_of(from), self.spec.domain_of(to.0));
        let regions = (
            self.spec.region_of(sender_domain),
            self.spec.region_of(receiver_domain),
        );
        if regions.0 != regions.1 {
            *self.link_bytes.entry(regions).or_default() += bytes;
        }
        if self.partitions[sender_domain] != self.partitions[receiver_domain]
            || self.chance(self.faults.lost_per_mille)
        {
            return;
        }
        let copies = if self.chance(self.faults.duplicated_per_mille) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            self.hosts[to.0].bytes += bytes;
            let mut wait = self.latency(from, to.0);
            if !self.faults.delay.is_zero() {
                wait += self.faults.delay.mul_f64(self.rng.random());
            }
            self.push(wait, Step::Event(to, Box::new(event())));
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1000) < per_mille
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let region = |host| self.spec.region_of(self.spec.domain_of(host));
        if region(from) == region(to) {
            REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        }
    }

    pub(super) fn connect(&mut self, generation: ProcessGeneration, address: SocketAddr) {
        let (host, number) = generation;
        if self.hosts[host].generation != number {
            return;
        }
        let target = self.addresses.get(&address).copied();
        let reachable = target.filter(|target| {
            let virtual_host = &self.hosts[*target];
            let connected = self.partitions[self.spec.domain_of(host)]
                == self.partitions[self.spec.domain_of(*target)];
            virtual_host.machine.is_some() && !virtual_host.paused && connected
        });
        let Some(target) = reachable else {
            let event = Box::new(ControlEvent::DialFailed { address });
            self.push(FAILURE_TIMEOUT, Step::Event(generation, event));
            return;
        };
        let remote = (target, self.hosts[target].generation);
        let hellos =
            [host, target].map(|host| self.hosts[host].machine.as_ref().map(ControlMachine::hello));
        let [Some(caller_hello), Some(target_hello)] = hellos else {
            return;
        };
        let key = self.hosts[target].sessions.insert(Session {
            remote: generation,
            key: PeerKey::default(),
        });
        let caller_key = self.hosts[host].sessions.insert(Session { remote, key });
        self.hosts[target].sessions[key].key = caller_key;
        let inbound = ControlEvent::PeerUp {
            peer: key,
            hello: caller_hello,
            link: PeerLink::Inbound,
        };
        let outbound = ControlEvent::PeerUp {
            peer: caller_key,
            hello: target_hello,
            link: PeerLink::Outbound(address),
        };
        let wait = self.latency(host, target);
        self.push(wait, Step::Event(generation, Box::new(outbound)));
        self.handle(remote, inbound);
    }

    pub(super) fn close(&mut self, session: Session, wait: Duration) {
        let (host, generation) = session.remote;
        if self.hosts[host].generation == generation
            && self.hosts[host].sessions.remove(session.key).is_some()
        {
            let event = Box::new(ControlEvent::PeerDown { peer: session.key });
            self.push(wait, Step::Event(session.remote, event));
        }
    }

    fn call_platform(&mut self, watch: Watch, is_watch: bool) {
        let wait = self.platform_latency(watch.caller.0);
        self.push(wait, Step::PlatformCall(Box::new(watch), is_watch));
    }

    // The platform is in region 0.
    fn platform_latency(&self, host: usize) -> Duration {
        let region = self.spec.region_of(self.spec.domain_of(host));
        if region == 0 {
            REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        }
    }

    pub(super) fn platform_call(&mut self, watch: Watch, is_watch: bool) {
        let (host, generation) = watch.caller;
        if self.hosts[host].generation != generation {
            return;
        }
        if self.is_platform_unreachable(host) {
            let id = watch.id;
            let result = Err(PlatformFailure("no route".into()));
            let event = Box::new(ControlEvent::PlatformValue { id, result });
            self.push(FAILURE_TIMEOUT, Step::Event(watch.caller, event));
            return;
        }
        self.platform.count(self.now);
        if !is_watch {
            let result = self.platform.read(&watch.key);
            self.answer_call(&watch, result);
            return;
        }
        match self.platform.watch(&watch.key, watch.known) {
            Some(result) => self.answer_call(&watch, result),
            None => {
                let wait = watch.until.saturating_sub(self.now);
                self.push(wait, Step::WatchEnd(host, generation, watch.id));
                self.platform.watches.push(watch);
            }
        }
    }

    fn is_platform_unreachable(&self, host: usize) -> bool {
        let domain = self.spec.domain_of(host);
        self.disconnected_domains.contains(&domain)
            || self.partitions.last() != Some(&self.partitions[domain])
    }

    pub(super) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let unreachable = self.is_platform_unreachable(watch.caller.0);
            match self.platform.watch(&watch.key, watch.known) {
                Some(result) if !unreachable => self.answer_call(&watch, result),
                _ => self.platform.watches.push(watch),
            }
        }
    }

    pub(super) fn answer_call(
        &mut self,
        watch: &Watch,
        result: Result<PlatformAnswer, PlatformFailure>,
    ) {
        let host = watch.caller.0;
        let region = self.spec.region_of(self.spec.domain_of(host));
        let value = match &result {
            Ok(PlatformAnswer::Value(value)) => value.len(),
            _ => 0,
        };
        let bytes = (value + 2 * PACKET_OVERHEAD + watch.key.to_string().len()) as u64;
        if region != 0 {
            *self.platform_bytes.entry(region).or_default() += bytes;
        }
        self.hosts[host].bytes += bytes;
        let id = watch.id;
        let event = Box::new(ControlEvent::PlatformValue { id, result });
        let wait = self.platform_latency(host) + Duration::from_millis(2);
        self.push(wait, Step::Event(watch.caller, event));
    }
}
