//! A newly started daemon that gets the platform's root during a fetch from a
//! peer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use radishgauge_config::PartDigest;
use radishgauge_control::ControlAction;
use radishgauge_control::ControlConfig;
use radishgauge_control::ControlEvent;
use radishgauge_control::ControlMachine;
use radishgauge_control::ControlPolicy;
use radishgauge_control::PeerKey;
use radishgauge_control::PeerLink;
use radishgauge_control::PlatformAnswer;
use radishgauge_control::PlatformKey;
use radishgauge_control::RequestId;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PageReply;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartValue;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::VersionHead;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_standin::virtual_fleet::content::ConfigRule;
use radishgauge_standin::virtual_fleet::content::FleetContent;
use radishgauge_standin::virtual_fleet::content::FleetSpec;
use slotmap::SlotMap;

fn answer(content: &FleetContent, request: Request) -> Option<Reply> {
    let values = content.values(None);
    let part = |digest: &Bytes| {
        let named = PartDigest::try_from(digest.as_ref()).ok()?;
        let held = values
            .iter()
            .find(|(key, _)| *key == PlatformKey::Part(named));
        held.map(|(_, value)| PartValue {
            digest: digest.clone(),
            value: value.clone(),
            compressed: false,
        })
    };
    match request {
        Request::Pages(request) => Some(Reply::Pages(PageReply {
            known: true,
            root: Some(content.index().root()),
            pages: request
                .pages
                .iter()
                .map(|page| content.index().page(*page as usize))
                .collect(),
        })),
        Request::Parts(request) => Some(Reply::Parts(PartReply {
            parts: request.digests.iter().filter_map(part).collect(),
            busy_ms: 0,
        })),
        _ => None,
    }
}

// Guards against the refusal of a valid version. A daemon without peers reads
// the platform's root, which arrives while a version is being fetched from the
// first peer. If the rule then validates the parts of the scope as if they were
// all parts, the version is refused until the next restart.
#[test]
fn root_arrives_during_a_peer_fetch() {
    let spec = FleetSpec {
        regions: 1,
        domains: 1,
        hosts: 8,
        services: 8,
        seeds: 0,
    };
    let content = FleetContent::new(&spec);
    let config = ControlConfig {
        host: spec.host_name(0),
        region: spec.region_name(0),
        domain: spec.domain_name(0),
        address: spec.address(0),
        incarnation: 9,
        seeds: Vec::new(),
        policy: ControlPolicy::default(),
        rule: Arc::new(ConfigRule),
    };
    let mut machine = ControlMachine::new(config, 1);
    let mut now = Duration::ZERO;
    let root_read = loop {
        let actions = machine.handle(ControlEvent::Tick, now);
        let read = actions.iter().find_map(|action| match action {
            ControlAction::ReadPlatform { id, key } if *key == PlatformKey::Root => Some(*id),
            _ => None,
        });
        if let Some(id) = read {
            break id;
        }
        now = machine.next_tick();
        assert!(
            now < Duration::from_secs(200),
            "the daemon without peers never read the root"
        );
    };
    let mut keys: SlotMap<PeerKey, ()> = SlotMap::with_key();
    let peer = keys.insert(());
    let hello = Hello {
        host: spec.host_name(1).into(),
        failure_domain: spec.domain_name(0).into(),
        incarnation: 1,
        revision: 1,
        region: spec.region_name(0).into(),
    };
    let link = PeerLink::Inbound;
    machine.handle(ControlEvent::PeerUp { peer, hello, link }, now);
    let version = content.version();
    let head = VersionHead {
        revision: version.revision,
        root: Bytes::copy_from_slice(version.root.as_bytes()),
        accepted: true,
        ..VersionHead::default()
    };
    let request = PeerRequest {
        request: Some(Request::Head(head)),
    };
    let id = RequestId(1);
    let mut actions = machine.handle(ControlEvent::Request { peer, id, request }, now);
    let root = content
        .values(None)
        .into_iter()
        .find(|(key, _)| *key == PlatformKey::Root);
    let mut root = root.map(|(_, value)| PlatformAnswer::Value(value));
    while let Some(action) = actions.pop() {
        if let ControlAction::Send { id, request, .. } = action
            && let Some(reply) = request
                .request
                .and_then(|request| answer(&content, request))
        {
            let result = Ok(PeerReply { reply: Some(reply) });
            actions.extend(machine.handle(ControlEvent::Reply { id, result }, now));
            // After the index, and before the parts of the scope.
            if let Some(value) = root.take() {
                let (id, result) = (root_read, Ok(value));
                actions.extend(machine.handle(ControlEvent::PlatformValue { id, result }, now));
            }
        }
    }
    assert_eq!(machine.status().refused_reasons, Vec::<String>::new());
    assert_eq!(machine.ledger().version(), Some(version));
}
