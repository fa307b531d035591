//! The HTTP interface of a daemon for operators.
//!
//! It is read-only, except that an operator can request a graceful stop of the
//! daemon.

use std::borrow::Cow;
use std::str::Utf8Error;
use std::sync::Arc;

use http::Method;
use http::Response;
use http::StatusCode;
use percent_encoding::percent_decode_str;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_net::exchange::HttpAnswer;
use radishgauge_net::exchange::HttpRequest;
use radishgauge_schema::peer::StatusReply;
use radishgauge_traffic::snapshot::Distance;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::control_loop::ControlInput;
use crate::node::DaemonNode;

/// Answers the requests of operators.
#[derive(Clone)]
pub struct OperatorHandler {
    /// The shared state of the daemon.
    pub node: Arc<DaemonNode>,
    /// Notified when an operator requests a graceful stop.
    pub stop: Arc<Notify>,
}

impl OperatorHandler {
    /// Answers one request.
    pub async fn answer(self, request: HttpRequest) -> HttpAnswer {
        let query = request.head.uri.query().unwrap_or_default();
        match (&request.head.method, request.head.uri.path()) {
            (&Method::GET, "/status") => reply(StatusCode::OK, &self.status().await),
            (&Method::GET, "/explain/version") => {
                reply(StatusCode::OK, &self.explain_version().await)
            }
            (&Method::GET, "/explain/route") => match route_parameters(query) {
                Ok([method, path, tenant]) => {
                    let route = self.explain_route(&method, &path, &tenant);
                    reply(StatusCode::OK, &route)
                }
                Err(error) => reply(
                    StatusCode::BAD_REQUEST,
                    &json!({ "error": format!("a parameter is not UTF-8: {error}") }),
                ),
            },
            (&Method::POST, "/stop") => {
                self.stop.notify_one();
                reply(StatusCode::ACCEPTED, &json!({ "stopping": true }))
            }
            _ => reply(
                StatusCode::NOT_FOUND,
                &json!({ "error": "accepted: GET /status, GET /explain/version, \
                    GET /explain/route?path=PATH&method=METHOD&tenant=TENANT, POST /stop" }),
            ),
        }
    }

    /// Returns the status of the control thread; `None` after it has ended.
    async fn control_status(&self) -> Option<StatusReply> {
        let (sender, receiver) = oneshot::channel();
        self.node.control.send(ControlInput::Status(sender));
        receiver.await.ok()
    }

    async fn status(&self) -> Value {
        let control = self.control_status().await.unwrap_or_default();
        let meters: serde_json::Map<String, Value> = self
            .node
            .meters
            .values()
            .into_iter()
            .map(|(name, _, value)| (name.to_owned(), value.into()))
            .collect();
        let local_targets: Vec<Value> = self
            .node
            .state
            .current()
            .iter()
            .flat_map(|version| version.snapshot.local_admissions())
            .map(|(service, admission)| {
                json!({
                    "service": service.as_str(),
                    "limit": admission.limit(),
                    "running": admission.running(),
                    "waiting": admission.waiting(),
                    "cold": admission.is_cold(),
                })
            })
            .collect();
        json!({
            "host": self.node.local.host.as_str(),
            "region": self.node.local.region.as_str(),
            "failure_domain": self.node.local.failure_domain.as_str(),
            "revision": control.revision,
            "source": control.source,
            "age_ms": control.age_ms,
            "took_ms": control.took_ms,
            "unconfirmed": control.unconfirmed,
            "refused_revision": control.refused_revision,
            "refused_reasons": control.refused_reasons,
            "platform_age_ms": control.platform_age_ms,
            "roles": control.roles,
            "stopping": self.node.is_stopping(),
            "hosted": local_targets,
            "suspects": self.node.suspects.len(),
            "retry_budget_calls": self.node.budget.available(),
            "keys": self.node.state.with_ledger(|ledger| ledger.len()),
            "meters": meters,
        })
    }

    async fn explain_version(&self) -> Value {
        let control = self.control_status().await.unwrap_or_default();
        let Some(current) = self.node.state.current() else {
            return json!({ "revision": 0, "because": "no version is in force yet" });
        };
        let fleet_state = &current.fleet_state;
        let confirmed = if fleet_state.unconfirmed {
            "it was taken from the platform while no peer had a version"
        } else {
            "a peer or a reader of the region confirmed it"
        };
        json!({
            "revision": fleet_state.revision,
            "root": fleet_state.root.to_string(),
            "source": fleet_state.source.as_str(),
            "because": format!("{} is the greatest accepted revision heard of; {confirmed}", fleet_state.revision),
            "freshness": format!("{:?}", fleet_state.freshness),
            "services_held": fleet_state.model.services.keys().map(|name| name.as_str()).collect::<Vec<_>>(),
            "routes_held": fleet_state.model.routes.len(),
            "routes_not_held": fleet_state.unloaded.len(),
            "refused_revision": control.refused_revision,
            "refused_reasons": control.refused_reasons,
        })
    }

    fn explain_route(&self, method: &str, path: &str, tenant: &str) -> Value {
        let Some(current) = self.node.state.current() else {
            return json!({ "refused": "no version is in force yet" });
        };
        let snapshot = &current.snapshot;
        let found = snapshot.routes().find(method, path);
        let entry = match found.map(|key| snapshot.routes().get(key)) {
            Ok(Some(entry)) => entry,
            Ok(None) => return json!({ "refused": "no-route" }),
            Err(refusal) => return json!({ "refused": refusal.reason.as_str() }),
        };
        let home = match snapshot.home_rule(entry, tenant, &[]) {
            Ok(home) => home,
            Err(refusal) => {
                return json!({ "route": entry.name.as_str(), "refused": refusal.reason.as_str() });
            }
        };
        let entry_refused = home.check_entry(snapshot.local_region()).err();
        let Some(service) = snapshot.service(entry.service) else {
            return json!({ "route": entry.name.as_str(), "refused": "no-target" });
        };
        let now = self.node.clock.now();
        let targets: Vec<Value> = Distance::ALL
            .into_iter()
            .flat_map(|distance| {
                service
                    .tier(distance)
                    .iter()
                    .map(move |target| (distance, target))
            })
            .map(|(distance, target)| {
                json!({
                    "host": target.host.as_str(),
                    "distance": format!("{distance:?}").to_lowercase(),
                    "allowed": home.allows_target(target.region),
                    "outstanding": target.stats.outstanding(),
                    "response_us": target.stats.response_time().as_micros() as u64,
                    "capacity": target.stats.capacity(),
                    "passed_over": target.stats.is_full(entry.criticality, now),
                })
            })
            .collect();
        json!({
            "revision": snapshot.revision(),
            "route": entry.name.as_str(),
            "service": service.name.as_str(),
            "repeatable": entry.repeatable,
            "timeout_ms": entry.timeout.as_millis() as u64,
            "home_regions": snapshot.home_region_names(&home).iter().map(|name| name.as_str()).collect::<Vec<_>>(),
            "refused_here": entry_refused.map(|refusal| refusal.reason.as_str()),
            "targets": targets,
        })
    }
}

fn reply(status: StatusCode, value: &Value) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::whole(format!("{value:#}\n")));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

/// Returns the method, path and tenant of a query, with `GET`, `/` and an empty
/// tenant as defaults.
fn route_parameters(query: &str) -> Result<[Cow<'_, str>; 3], Utf8Error> {
    let method = query_parameter(query, "method")?.unwrap_or(Cow::Borrowed("GET"));
    let path = query_parameter(query, "path")?.unwrap_or(Cow::Borrowed("/"));
    let tenant = query_parameter(query, "tenant")?.unwrap_or_default();
    Ok([method, path, tenant])
}

/// Returns a percent-decoded parameter of a query; a `+` is not decoded.
///
/// # Errors
///
/// When the decoded value is not UTF-8.
///
/// # Examples
///
/// ```
/// use radishgauge_daemon::operator::query_parameter;
///
/// let path = query_parameter("path=%2Fa%26b&tenant=t", "path").unwrap();
/// assert_eq!(path.as_deref(), Some("/a&b"));
/// ```
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Result<Option<Cow<'a, str>>, Utf8Error> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(found, _)| *found == name)
        .map(|(_, value)| percent_decode_str(value).decode_utf8())
        .transpose()
}
