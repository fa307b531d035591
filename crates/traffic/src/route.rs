//! The routing table.
//!
//! The route with the longest matching path prefix handles a request. Among
//! routes with the same prefix, one that lists the method has precedence over
//! one that accepts all methods. A prefix matches whole path segments:
//! `/orders` matches `/orders` and `/orders/7`, but not `/orders2`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishgauge_config::FleetModel;
use radishgauge_config::model::Criticality;
use smol_str::SmolStr;

use crate::home::RegionSet;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::retry::CallCost;
use crate::snapshot::ServiceKey;
use crate::snapshot::region_set;

/// Identifies a route by its index in one snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// A route: a group of requests and the settings for them.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The configured name of the route.
    pub name: SmolStr,
    /// The accepted methods; empty for all.
    pub methods: Vec<SmolStr>,
    /// The service that handles the requests.
    pub service: ServiceKey,
    /// How important the requests are; less critical ones are shed first.
    pub criticality: Criticality,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The deadline of a request that specifies none.
    pub timeout: Duration,
    /// The regions in which the requests may be handled.
    pub home: RegionSet,
    /// The estimated number of calls that a request causes. Later snapshots
    /// share it as long as the route belongs to the same service.
    pub cost: Arc<CallCost>,
    service_name: SmolStr,
}

/// The routes of one snapshot.
#[derive(Debug, Default)]
pub struct RouteTable {
    entries: Vec<RouteEntry>,
    by_prefix: HashMap<SmolStr, Vec<RouteKey>>,
}

impl RouteTable {
    /// Builds the table. A route whose service is not in the model is omitted,
    /// so that no route points to a missing service.
    pub(crate) fn build<F>(
        model: &FleetModel,
        regions: &[SmolStr],
        previous: Option<&RouteTable>,
        service: F,
    ) -> RouteTable
    where
        F: Fn(&str) -> Option<ServiceKey>,
    {
        let mut table = RouteTable::default();
        let costs: HashMap<(&SmolStr, &SmolStr), &Arc<CallCost>> = previous
            .iter()
            .flat_map(|old| &old.entries)
            .map(|old| ((&old.name, &old.service_name), &old.cost))
            .collect();
        for (name, route) in &model.routes {
            let Some(service) = service(&route.service) else {
                continue;
            };
            let key = RouteKey(table.entries.len() as u32);
            let prefix = route.path_prefix.trim_end_matches('/');
            table
                .by_prefix
                .entry(SmolStr::new(prefix))
                .or_default()
                .push(key);
            table.entries.push(RouteEntry {
                name: name.clone(),
                methods: route.methods.clone(),
                service,
                criticality: route.criticality,
                repeatable: route.repeatable,
                timeout: route.timeout,
                home: region_set(regions, &route.home_regions),
                cost: costs
                    .get(&(name, &route.service))
                    .map_or_else(Arc::default, |cost| Arc::clone(cost)),
                service_name: route.service.clone(),
            });
        }
        for keys in table.by_prefix.values_mut() {
            keys.sort_by_key(|key| table.entries[key.0 as usize].methods.is_empty());
        }
        table
    }

    /// Returns the route of a request. A query or fragment in the path is
    /// ignored.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::MethodNotAllowed`] when all routes that match the path
    /// are for other methods, and [`RefusalReason::NoRoute`] when none matches
    /// it.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteKey, Refusal> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut prefix = path.trim_end_matches('/');
        let mut reason = RefusalReason::NoRoute;
        loop {
            if let Some(keys) = self.by_prefix.get(prefix) {
                let accepts = |key: &&RouteKey| {
                    let methods = &self.entries[key.0 as usize].methods;
                    methods.is_empty() || methods.iter().any(|accepted| accepted == method)
                };
                if let Some(key) = keys.iter().find(accepts) {
                    return Ok(*key);
                }
                reason = RefusalReason::MethodNotAllowed;
            }
            match prefix.rfind('/') {
                Some(end) => prefix = &prefix[..end],
                None => return Err(Refusal::new(reason)),
            }
        }
    }

    /// Returns the route with the key, or `None` when the key comes from another
    /// snapshot and is out of range in this one.
    pub fn get(&self, key: RouteKey) -> Option<&RouteEntry> {
        self.entries.get(key.0 as usize)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
