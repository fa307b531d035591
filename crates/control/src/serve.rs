//! Handling of peers' requests.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::PartDigest;
use radishgauge_config::index::PAGES;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::IndexRoot;
use radishgauge_schema::config::config_part::Part;
use radishgauge_schema::peer::DeltaReply;
use radishgauge_schema::peer::DeltaRequest;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::HostsReply;
use radishgauge_schema::peer::HostsRequest;
use radishgauge_schema::peer::PageReply;
use radishgauge_schema::peer::PageRequest;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartRequest;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::StatusReply;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;

use crate::event::ControlAction;
use crate::event::PeerKey;
use crate::event::RequestId;
use crate::hosts::ListUpdate;
use crate::machine::ControlMachine;
use crate::rank;
use crate::view;

/// The maximum total length in bytes of the parts in one reply, unless the first
/// one alone is longer; the peer requests the rest again. A message is limited
/// to 1 MB and 4 KB, a part to 1 MB.
const REPLY_BYTES: usize = 512 * 1024;

/// A request for more digests than this counts as a full transfer.
const SMALL_REQUEST: usize = 32;

/// The interval at which a relay sends a member the full list of another failure
/// domain. A list has 60 KB at 1,000 hosts, so this uses half of a daemon's
/// 8 KB/s. The delay is acceptable, since members need only the entries of
/// targets' hosts, and leaving notices do not depend on the list.
const FOREIGN_LIST_INTERVAL: Duration = Duration::from_secs(15);

impl ControlMachine {
    pub(crate) fn request(&mut self, peer: PeerKey, id: RequestId, request: PeerRequest) {
        let Some(info) = self.peers.get_mut(peer) else {
            return;
        };
        info.last_used = self.now;
        let host = info.host.clone();
        let reply = match request.request {
            Some(Request::Head(head)) => {
                self.handle_head(peer, &head);
                let asked = head.hosts;
                let mut head = self.head();
                if asked.is_empty() || asked == head.hosts {
                    head.hosts.clear();
                }
                if let Some(info) = self.peers.get_mut(peer) {
                    info.revision = info.revision.max(head.revision);
                }
                Reply::Head(head)
            }
            Some(Request::Delta(request)) => Reply::Delta(self.answer_delta(&request)),
            Some(Request::Pages(request)) => Reply::Pages(self.answer_pages(&request)),
            Some(Request::Parts(request)) => Reply::Parts(self.answer_parts(&host, &request)),
            Some(Request::Hosts(request)) => Reply::Hosts(self.answer_hosts(&host, &request)),
            Some(Request::Leaving(notice)) => {
                self.handle_leaving(peer, notice);
                Reply::Received(Received {})
            }
            Some(Request::Status(_)) => Reply::Status(self.status()),
            Some(Request::Hello(_)) => Reply::Hello(self.hello()),
            // These belong to the request path.
            Some(
                Request::Ping(_)
                | Request::Strike(_)
                | Request::Call(_)
                | Request::Transfer(_)
                | Request::IssueKey(_),
            )
            | None => Reply::Received(Received {}),
        };
        self.actions.push(ControlAction::Reply {
            peer,
            id,
            reply: PeerReply { reply: Some(reply) },
        });
        self.advance();
    }

    /// Returns the hello that this daemon sends when a session is established.
    pub fn hello(&self) -> Hello {
        Hello {
            host: self.config.host.to_string(),
            failure_domain: self.config.domain.to_string(),
            incarnation: self.config.incarnation,
            revision: self.ledger.revision(),
            region: self.config.region.to_string(),
        }
    }

    fn in_force(&self, root: &Bytes) -> bool {
        let root = PartDigest::try_from(root.as_ref()).ok();
        let version = self.ledger.version().map(|version| version.root);
        root.is_some() && root == version && self.view.root_digest() == root.unwrap_or_default()
    }

    fn answer_delta(&self, request: &DeltaRequest) -> DeltaReply {
        let between = PartDigest::try_from(request.base.as_ref())
            .and_then(|base| Ok((base, PartDigest::try_from(request.root.as_ref())?)))
            .ok()
            .and_then(|(base, root)| self.history.between(base, root));
        let Some((revision, change)) = between else {
            return DeltaReply::default();
        };
        let (changed, removed) = view::to_message(&change);
        // The peer computes the page digests itself, which saves 576 bytes.
        let root = IndexRoot {
            schema: radishgauge_config::index::SCHEMA,
            revision,
            pages: Vec::new(),
            check: Bytes::new(),
        };
        DeltaReply {
            known: true,
            root: Some(root),
            changed,
            removed,
        }
    }

    fn answer_pages(&self, request: &PageRequest) -> PageReply {
        let pages: Option<Vec<usize>> = request
            .pages
            .iter()
            .map(|page| usize::try_from(*page).ok().filter(|page| *page < PAGES))
            .collect();
        match pages {
            Some(pages) if pages.len() <= PAGES && self.in_force(&request.root) => PageReply {
                known: true,
                root: Some(self.view.root()),
                pages: pages
                    .into_iter()
                    .map(|page| self.view.index().page(page))
                    .collect(),
            },
            _ => PageReply::default(),
        }
    }

    fn answer_parts(&mut self, host: &str, request: &PartRequest) -> PartReply {
        if request.digests.len() > SMALL_REQUEST
            && let Err(busy_ms) = self.transfers.admit(host, self.now)
        {
            return PartReply {
                parts: Vec::new(),
                busy_ms,
            };
        }
        let mut digests: Vec<_> = request
            .digests
            .iter()
            .filter_map(|digest| PartDigest::try_from(digest.as_ref()).ok())
            .collect();
        if request.digests.is_empty() {
            digests = self.local_services_of(host);
        }
        let mut bytes = 0;
        let parts = digests
            .into_iter()
            .filter_map(|digest| self.parts.message(digest))
            .take_while(|part| {
                let first = bytes == 0;
                bytes += part.value.len();
                first || bytes <= REPLY_BYTES
            })
            .collect();
        PartReply { parts, busy_ms: 0 }
    }

    // Returns the services with a target on the requesting host. A request without
    // digests means these, since the peer cannot see them in its own scope.
    fn local_services_of(&self, host: &str) -> Vec<PartDigest> {
        let services = self
            .view
            .index()
            .iter()
            .filter(|(key, _)| key.starts_with("service/"));
        services
            .filter(|(_, digest)| {
                let part = self.parts.get(*digest);
                let part = part.and_then(|value| ConfigPart::decode(value.as_ref()).ok()?.part);
                matches!(part, Some(Part::Service(service)) if service.targets.iter().any(|target| target.host == host))
            })
            .map(|(_, digest)| digest)
            .collect()
    }

    fn answer_hosts(&mut self, host: &str, request: &HostsRequest) -> HostsReply {
        let mut reply = HostsReply::default();
        for have in &request.have {
            match self.lists.answer(have) {
                Some(ListUpdate::Delta(delta)) => reply.deltas.push(delta),
                Some(ListUpdate::Full(list))
                    if self.is_foreign_list(host, &list.failure_domain) =>
                {
                    if self.now < self.foreign_list_at {
                        let wait = self.foreign_list_at - self.now + self.spread(host);
                        reply.busy_ms = wait.as_millis() as u64;
                    } else {
                        self.foreign_list_at = self.now + FOREIGN_LIST_INTERVAL;
                        reply.lists.push(list);
                    }
                }
                Some(ListUpdate::Full(list)) => match self.transfers.admit(host, self.now) {
                    Ok(()) => reply.lists.push(list),
                    Err(busy_ms) => reply.busy_ms = busy_ms,
                },
                None => {}
            }
        }
        reply
    }

    // Returns whether a member of the own domain requests another domain's list.
    fn is_foreign_list(&self, host: &str, domain: &str) -> bool {
        let peer = self.peers.by_host(host).and_then(|key| self.peers.get(key));
        let member =
            peer.is_some_and(|info| info.domain == self.config.domain) && !self.is_relay(host);
        member && domain != self.config.domain
    }

    fn spread(&self, host: &str) -> Duration {
        FOREIGN_LIST_INTERVAL.mul_f64((rank::weight("far list", host) % 1000) as f64 / 100.0)
    }

    /// Returns the status shown on the operator page and sent to peers on request.
    pub fn status(&self) -> StatusReply {
        let record = self.ledger.record();
        let refusal = self.ledger.refusal();
        let age = |at| self.now.saturating_sub(at).as_millis() as u64;
        // A version that came into force shows that the platform was reachable for
        // some daemon at that time.
        let last_response = self
            .plan
            .last_response
            .max(record.map(|record| record.since));
        let mut roles = vec!["member".to_owned()];
        if self.roles.relay {
            roles.push("relay".to_owned());
        }
        if let Some(rank) = self.roles.rank {
            roles.push(format!("reader {rank}"));
        }
        StatusReply {
            host: self.config.host.to_string(),
            failure_domain: self.config.domain.to_string(),
            revision: self.ledger.revision(),
            source: record
                .map(|record| record.source.to_string())
                .unwrap_or_default(),
            age_ms: record.map_or(0, |record| age(record.since)),
            took_ms: record.map_or(0, |record| record.took.as_millis() as u64),
            unconfirmed: record.is_some_and(|record| record.unconfirmed),
            refused_revision: refusal.revision,
            refused_reasons: refusal.reasons.clone(),
            platform_age_ms: last_response.map_or_else(|| age(Default::default()), age),
            roles,
        }
    }
}
