//! Warnings about home regions in a configuration.
//!
//! Home regions do not affect the validity of a configuration, since regions are added and removed
//! independently of it. Problems found by [`check_homes`] are logged when a configuration is
//! applied. Region names are case-sensitive.

use std::fmt;

use calicohoist_types::{Region, TenantId};

use crate::configuration::{Configuration, Route};
use crate::eligibility::HomeRegions;
use crate::tenant::Tenant;
use crate::topology::Topology;

/// Route or tenant with home regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeOwner {
    /// A route, by name.
    Route(String),
    /// A tenant.
    Tenant(TenantId),
}

impl fmt::Display for HomeOwner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(formatter, "route {name}"),
            Self::Tenant(tenant) => write!(formatter, "tenant {tenant}"),
        }
    }
}

/// Probable misconfiguration of home regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeProblem {
    /// A home region contains no zone. It is ignored.
    UnknownRegion {
        /// Route or tenant that lists the region.
        owner: HomeOwner,
        /// Name of the region.
        region: Region,
    },
    /// No home region contains a zone. All requests are refused.
    NoHome {
        /// Route or tenant without a usable home region.
        owner: HomeOwner,
    },
    /// Route and tenant have no home region in common. Requests of the tenant on the route are
    /// refused.
    NoOverlap {
        /// Name of the route.
        route: String,
        /// The tenant.
        tenant: TenantId,
    },
    /// Retained turns would also be stored outside the home regions, since the ledger is
    /// replicated to all regions. Such turns are refused.
    StoredOutsideHome {
        /// Route or tenant with the home regions.
        owner: HomeOwner,
    },
}

impl fmt::Display for HomeProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegion { owner, region } => {
                write!(formatter, "{owner} lists home region {region}, which contains no zone")
            }
            Self::NoHome { owner } => {
                write!(
                    formatter,
                    "{owner} has no home region with a zone: all its requests are refused"
                )
            }
            Self::NoOverlap { route, tenant } => {
                write!(formatter, "route {route} and tenant {tenant} have no home region in common")
            }
            Self::StoredOutsideHome { owner } => {
                write!(
                    formatter,
                    "turns of {owner} are refused: they would also be stored outside its home regions"
                )
            }
        }
    }
}

/// Problems found, up to a limit: there may be one for each pair of a tenant and a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeFindings {
    /// Problems, up to the limit.
    pub problems: Vec<HomeProblem>,
    /// Number of problems beyond the limit.
    pub more: usize,
    /// Maximum number of problems to keep.
    limit: usize,
}

impl HomeFindings {
    fn add(&mut self, problem: impl FnOnce() -> HomeProblem) {
        if self.problems.len() < self.limit {
            self.problems.push(problem());
        } else {
            self.more += 1;
        }
    }
}

/// Checks the home regions of all routes and tenants. Returns at most `limit` problems; further
/// ones are only counted.
pub fn check_homes(
    configuration: &Configuration,
    topology: &Topology,
    limit: usize,
) -> HomeFindings {
    let routes = &configuration.routes;
    let mut findings = HomeFindings { limit, ..HomeFindings::default() };
    for route in routes {
        let owner = || HomeOwner::Route(route.name.clone());
        check_owner(&owner, &route.homes, topology, &mut findings);
        if route.retain && !topology.is_covered_by(&route.homes) {
            findings.add(|| HomeProblem::StoredOutsideHome { owner: owner() });
        }
    }
    let retains = routes.iter().any(|route| route.retain);
    let restricted = RestrictedRoutes::new(routes, topology);
    for tenant in configuration.tenants.iter().filter(|tenant| tenant.homes.is_restricted()) {
        let owner = || HomeOwner::Tenant(tenant.id.clone());
        check_owner(&owner, &tenant.homes, topology, &mut findings);
        if retains && !topology.is_covered_by(&tenant.homes) {
            findings.add(|| HomeProblem::StoredOutsideHome { owner: owner() });
        }
        if topology.has_home(&tenant.homes) {
            restricted.check_overlap(tenant, topology, &mut findings);
        }
    }
    findings
}

fn check_owner(
    owner: &impl Fn() -> HomeOwner,
    homes: &HomeRegions,
    topology: &Topology,
    findings: &mut HomeFindings,
) {
    for region in homes.regions().filter(|region| !topology.has_region(region)) {
        let region = || region.clone();
        findings.add(|| HomeProblem::UnknownRegion { owner: owner(), region: region() });
    }
    if !topology.has_home(homes) {
        findings.add(|| HomeProblem::NoHome { owner: owner() });
    }
}

/// Routes with restricted home regions. Equal home regions are stored once, so that each is
/// compared with those of a tenant only once; configurations may have tens of thousands of
/// tenants.
struct RestrictedRoutes<'a> {
    homes: Vec<&'a HomeRegions>,
    /// Routes, each with the index of its home regions in `homes`.
    routes: Vec<(&'a Route, usize)>,
}

impl<'a> RestrictedRoutes<'a> {
    fn new(routes: &'a [Route], topology: &Topology) -> Self {
        let mut homes: Vec<&HomeRegions> = Vec::new();
        let mut restricted = Vec::new();
        let has_home =
            |route: &&Route| route.homes.is_restricted() && topology.has_home(&route.homes);
        for route in routes.iter().filter(has_home) {
            let index = homes.iter().position(|existing| **existing == route.homes);
            let index = index.unwrap_or_else(|| {
                homes.push(&route.homes);
                homes.len() - 1
            });
            restricted.push((route, index));
        }
        Self { homes, routes: restricted }
    }

    /// Adds a problem for each route that has no home region in common with the tenant.
    fn check_overlap(&self, tenant: &Tenant, topology: &Topology, findings: &mut HomeFindings) {
        let overlaps = |homes: &&HomeRegions| topology.has_home(&homes.intersection(&tenant.homes));
        let overlapping: Vec<bool> = self.homes.iter().map(overlaps).collect();
        for (route, _) in self.routes.iter().filter(|(_, index)| !overlapping[*index]) {
            findings.add(|| HomeProblem::NoOverlap {
                route: route.name.clone(),
                tenant: tenant.id.clone(),
            });
        }
    }
}
