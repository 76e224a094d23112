//! Look-up of routes by host and path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Limits, Route, Service};
use crate::tenant::{ApiKeyIndex, KeySecret};

/// A configuration indexed for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: Limits,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    keys: ApiKeyIndex,
}

impl RouteTable {
    /// Indexes a valid configuration. API keys are hashed with `secret`.
    pub fn new(configuration: Configuration, secret: &KeySecret) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = configuration.services.into_iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service)));
        Self {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            services: services.collect(),
            keys: ApiKeyIndex::new(configuration.tenants, secret),
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests and connections of callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the look-up of tenants by API key.
    pub fn keys(&self) -> &ApiKeyIndex {
        &self.keys
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// A port in `host` and a query in `path` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(before, _)| before);
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Iterates over the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
