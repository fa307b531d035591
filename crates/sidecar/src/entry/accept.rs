//! Accepts a request: finds its route and its tenant, and receives its body.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::request::Parts;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::TenantPolicy;
use radishgauge_net::BodyFault;
use radishgauge_net::BodyPieces;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_platform::message;
use smol_str::SmolStr;

use super::DEFAULT_RETRY_AFTER;
use crate::body_receipt;
use crate::local_reply;
use crate::node::SidecarNode;
use crate::tenant_access;
use crate::tenant_access::TenantAccess;
use crate::unread_body::close_connection;

/// A request that was received completely, and has a route.
pub(super) struct AcceptedRequest<'a> {
    pub(super) id: SmolStr,
    pub(super) config: &'a MeshConfig,
    pub(super) route: &'a MeshRoute,
    pub(super) tenant: Option<Arc<TenantPolicy>>,
    /// How long the request may take.
    pub(super) longest: Duration,
    pub(super) body: BodyPieces,
}

/// Finds the route and the tenant of a request, and receives its body.
///
/// # Errors
///
/// When the request is refused before its body was read to the end.
pub(super) async fn accept<'a>(
    node: &Arc<SidecarNode>,
    config: Option<&'a MeshConfig>,
    head: &Parts,
    body: &mut HttpBody,
    address: IpAddr,
) -> Result<AcceptedRequest<'a>, HttpAnswer> {
    let id = message::request_id(&head.headers);
    let refuse =
        |id: Option<&str>, reason| local_reply::refuse(node, id, reason, DEFAULT_RETRY_AFTER);
    let Some(config) = config else {
        return Err(refuse(id.as_deref(), "no configuration"));
    };
    let Some(id) = id else {
        let status = StatusCode::BAD_REQUEST;
        return Err(local_reply::error(status, None, "no request id"));
    };
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = config.find(host, head.uri.path()) else {
        if node.may_lack_changes() {
            return Err(refuse(Some(&id), "no route in an old state"));
        }
        let status = StatusCode::NOT_FOUND;
        return Err(local_reply::error(status, Some(&id), "no route"));
    };
    let tenant = admit(node, config, route, &head.headers, &id).await?;
    let time_left = message::time_left(&head.headers).unwrap_or(route.timeout);
    let longest = time_left.min(route.timeout);
    let received = body_receipt::receive(node, body, address, longest).await;
    let body = received.map_err(|fault| refuse_body(node, &id, &fault))?;
    Ok(AcceptedRequest {
        id,
        config,
        route,
        tenant,
        longest,
        body,
    })
}

/// Returns the answer to a request whose body could not be received.
fn refuse_body(node: &SidecarNode, id: &str, fault: &BodyFault) -> HttpAnswer {
    let (status, reason) = match fault {
        BodyFault::Late => (StatusCode::REQUEST_TIMEOUT, "body did not arrive in time"),
        BodyFault::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        BodyFault::Cut(_) => (StatusCode::BAD_REQUEST, "body was cut off"),
        BodyFault::NoMemory => {
            return local_reply::refuse(node, Some(id), "no memory", DEFAULT_RETRY_AFTER);
        }
    };
    let mut answer = local_reply::error(status, Some(id), reason);
    if matches!(fault, BodyFault::Cut(_)) {
        // The rest of the body cannot be read.
        close_connection(&mut answer);
    }
    answer
}

/// Returns the tenant of a request, if it has one.
///
/// # Errors
///
/// When the request needs a key and has no valid one, or is over its tenant's limit.
async fn admit(
    node: &Arc<SidecarNode>,
    config: &MeshConfig,
    route: &MeshRoute,
    headers: &HeaderMap,
    id: &str,
) -> Result<Option<Arc<TenantPolicy>>, HttpAnswer> {
    let tenant = match tenant_access::check(node, config, route, headers, id) {
        TenantAccess::Tenant(tenant) => tenant,
        // Calls of targets have no tenant, so they do not count against a limit.
        TenantAccess::NoTenant => return Ok(None),
        TenantAccess::Refused(refusal) => {
            return Err(local_reply::refuse_access(
                node,
                id,
                &route.name,
                refusal,
                DEFAULT_RETRY_AFTER,
            ));
        }
    };
    match node.quota().admit(&tenant).await {
        Ok(()) => Ok(Some(tenant)),
        Err(refusal) => Err(local_reply::refuse_over_limit(node, id, &tenant, &refusal)),
    }
}
