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

use crate::virtual_fleet::DEAD;
use crate::virtual_fleet::FAR;
use crate::virtual_fleet::Life;
use crate::virtual_fleet::NEAR;
use crate::virtual_fleet::PACKET_OVERHEAD;
use crate::virtual_fleet::Session;
use crate::virtual_fleet::Step;
use crate::virtual_fleet::VirtualFleet;
use crate::virtual_fleet::platform::Watch;

impl VirtualFleet {
    pub(super) fn act(&mut self, life: Life, action: ControlAction) {
        let host = life.0;
        match action {
            ControlAction::ReadPlatform { id, key } => {
                let watch = Watch {
                    caller: life,
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
                    caller: life,
                    id,
                    key,
                    known,
                    until,
                };
                self.call_platform(watch, true);
            }
            ControlAction::Dial { address } => {
                let target = self.addresses.get(&address).copied();
                let wait = target.map_or(NEAR, |target| self.latency(host, target));
                self.push(wait, Step::Connect(life, address));
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
                    self.push(Duration::ZERO, Step::Event(life, event));
                    return;
                };
                self.carry(host, session.remote, request.encoded_len(), || {
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
                self.carry(host, session.remote, reply.encoded_len(), || {
                    ControlEvent::Reply {
                        id,
                        result: Ok(reply.clone()),
                    }
                });
            }
            ControlAction::Publish(share) => self.check(host, share),
            ControlAction::Log(log) => {
                if self.keep_logs {
                    self.hosts[host].logs.push(log);
                }
            }
        }
    }

    fn carry<F>(&mut self, from: usize, to: Life, length: usize, event: F)
    where
        F: Fn() -> ControlEvent,
    {
        let bytes = (length + PACKET_OVERHEAD) as u64;
        self.hosts[from].bytes += bytes;
        let (here, there) = (self.spec.domain_of(from), self.spec.domain_of(to.0));
        let regions = (self.spec.region_of(here), self.spec.region_of(there));
        if regions.0 != regions.1 {
            *self.link_bytes.entry(regions).or_default() += bytes;
        }
        if self.groups[here] != self.groups[there] || self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.doubled) {
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
            NEAR
        } else {
            FAR
        }
    }

    pub(super) fn connect(&mut self, life: Life, address: SocketAddr) {
        let (host, number) = life;
        if self.hosts[host].life != number {
            return;
        }
        let target = self.addresses.get(&address).copied();
        let up = target.filter(|target| {
            let held = &self.hosts[*target];
            let same =
                self.groups[self.spec.domain_of(host)] == self.groups[self.spec.domain_of(*target)];
            held.machine.is_some() && !held.paused && same
        });
        let Some(target) = up else {
            let event = Box::new(ControlEvent::DialFailed { address });
            self.push(DEAD, Step::Event(life, event));
            return;
        };
        let remote = (target, self.hosts[target].life);
        let hellos =
            [host, target].map(|host| self.hosts[host].machine.as_ref().map(ControlMachine::hello));
        let [Some(near), Some(far)] = hellos else {
            return;
        };
        let key = self.hosts[target].sessions.insert(Session {
            remote: life,
            key: PeerKey::default(),
        });
        let own = self.hosts[host].sessions.insert(Session { remote, key });
        self.hosts[target].sessions[key].key = own;
        let inbound = ControlEvent::PeerUp {
            peer: key,
            hello: near,
            link: PeerLink::Inbound,
        };
        let outbound = ControlEvent::PeerUp {
            peer: own,
            hello: far,
            link: PeerLink::Outbound(address),
        };
        let wait = self.latency(host, target);
        self.push(wait, Step::Event(life, Box::new(outbound)));
        self.handle(remote, inbound);
    }

    pub(super) fn close(&mut self, session: Session, wait: Duration) {
        let (host, life) = session.remote;
        if self.hosts[host].life == life && self.hosts[host].sessions.remove(session.key).is_some()
        {
            let event = Box::new(ControlEvent::PeerDown { peer: session.key });
            self.push(wait, Step::Event(session.remote, event));
        }
    }

    fn call_platform(&mut self, watch: Watch, waits: bool) {
        let wait = self.platform_latency(watch.caller.0);
        self.push(wait, Step::PlatformCall(Box::new(watch), waits));
    }

    // The platform is in region 0.
    fn platform_latency(&self, host: usize) -> Duration {
        let region = self.spec.region_of(self.spec.domain_of(host));
        if region == 0 { NEAR } else { FAR }
    }

    pub(super) fn platform_call(&mut self, watch: Watch, waits: bool) {
        let (host, life) = watch.caller;
        if self.hosts[host].life != life {
            return;
        }
        if self.without_platform(host) {
            let id = watch.id;
            let result = Err(PlatformFailure("no route".into()));
            let event = Box::new(ControlEvent::PlatformValue { id, result });
            self.push(DEAD, Step::Event(watch.caller, event));
            return;
        }
        self.platform.count(self.now);
        if !waits {
            let result = self.platform.read(&watch.key);
            self.answer_call(&watch, result);
            return;
        }
        match self.platform.watch(&watch.key, watch.known) {
            Some(result) => self.answer_call(&watch, result),
            None => {
                let wait = watch.until.saturating_sub(self.now);
                self.push(wait, Step::WatchEnd(host, life, watch.id));
                self.platform.watches.push(watch);
            }
        }
    }

    fn without_platform(&self, host: usize) -> bool {
        let domain = self.spec.domain_of(host);
        self.no_platform.contains(&domain) || self.groups.last() != Some(&self.groups[domain])
    }

    pub(super) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let cut = self.without_platform(watch.caller.0);
            match self.platform.watch(&watch.key, watch.known) {
                Some(result) if !cut => self.answer_call(&watch, result),
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
