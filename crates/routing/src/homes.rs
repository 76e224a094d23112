//! What is questionable about the homes in a configuration.
//!
//! A configuration is valid whatever its homes are, since regions come and go without a new
//! configuration. Whoever puts one in force logs what [`question_homes`] finds. Names of regions are compared as they are
//! written, so that `North` is not `north`.

use std::fmt;

use calicohoist_types::{Region, TenantId};

use crate::configuration::{Configuration, Route};
use crate::eligibility::HomeRegions;
use crate::tenant::Tenant;
use crate::topology::Topology;

/// Whose homes they are.
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

/// Something about homes that an operator may not have meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeProblem {
    /// No zone lies in a region that is named. The name is ignored; the other regions count.
    UnknownRegion {
        /// Who names it.
        owner: HomeOwner,
        /// The name.
        region: Region,
    },
    /// All requests are refused.
    NoHome {
        /// Who has none.
        owner: HomeOwner,
    },
    /// Requests of this tenant on this route are refused.
    NoOverlap {
        /// The route, by name.
        route: String,
        /// The tenant.
        tenant: TenantId,
    },
    /// The ledger keeps turns in all regions, so that turns of this route are refused.
    KeptElsewhere {
        /// Whose homes leave out some regions.
        owner: HomeOwner,
    },
}

impl fmt::Display for HomeProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegion { owner, region } => {
                write!(formatter, "{owner} names region {region}, in which no zone lies")
            }
            Self::NoHome { owner } => {
                write!(formatter, "{owner} has no home: all its requests are refused")
            }
            Self::NoOverlap { route, tenant } => {
                write!(formatter, "route {route} and tenant {tenant} have no home in common")
            }
            Self::KeptElsewhere { owner } => {
                write!(formatter, "turns of {owner} are refused: they would be kept elsewhere, too")
            }
        }
    }
}

/// What was found, up to a limit: each of very many tenants may have a problem with each route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeFindings {
    /// The first problems.
    pub problems: Vec<HomeProblem>,
    /// Problems beyond these.
    pub more: usize,
    /// How many problems are kept.
    limit: usize,
}

impl HomeFindings {
    fn note(&mut self, problem: impl FnOnce() -> HomeProblem) {
        if self.problems.len() < self.limit {
            self.problems.push(problem());
        } else {
            self.more += 1;
        }
    }
}

/// Finds what is questionable: regions without a zone, homes without a known region, routes and
/// tenants without a home in common, and retained turns that would be kept outside of their homes. At most
/// `limit` problems are kept, the others counted.
pub fn question_homes(
    configuration: &Configuration,
    topology: &Topology,
    limit: usize,
) -> HomeFindings {
    let routes = &configuration.routes;
    let mut findings = HomeFindings { limit, ..HomeFindings::default() };
    for route in routes {
        let owner = || HomeOwner::Route(route.name.clone());
        question_owner(&owner, &route.homes, topology, &mut findings);
        if route.retain && !topology.is_covered_by(&route.homes) {
            findings.note(|| HomeProblem::KeptElsewhere { owner: owner() });
        }
    }
    let retains = routes.iter().any(|route| route.retain);
    let bound = BoundRoutes::of(routes, topology);
    for tenant in configuration.tenants.iter().filter(|tenant| tenant.homes.is_bound()) {
        let owner = || HomeOwner::Tenant(tenant.id.clone());
        question_owner(&owner, &tenant.homes, topology, &mut findings);
        if retains && !topology.is_covered_by(&tenant.homes) {
            findings.note(|| HomeProblem::KeptElsewhere { owner: owner() });
        }
        if topology.has_home(&tenant.homes) {
            bound.question_overlap(tenant, topology, &mut findings);
        }
    }
    findings
}

fn question_owner(
    owner: &impl Fn() -> HomeOwner,
    homes: &HomeRegions,
    topology: &Topology,
    findings: &mut HomeFindings,
) {
    for region in homes.regions().filter(|region| !topology.has_region(region)) {
        let region = || region.clone();
        findings.note(|| HomeProblem::UnknownRegion { owner: owner(), region: region() });
    }
    if !topology.has_home(homes) {
        findings.note(|| HomeProblem::NoHome { owner: owner() });
    }
}

/// Routes that name homes. Routes that name none overlap with every tenant. Homes that several
/// routes share are compared with those of a tenant only once: configurations have tens of
/// thousands of tenants, and the thread that reads one serves no requests meanwhile.
struct BoundRoutes<'a> {
    homes: Vec<&'a HomeRegions>,
    /// Each route with the index of its homes in `homes`.
    routes: Vec<(&'a Route, usize)>,
}

impl<'a> BoundRoutes<'a> {
    fn of(routes: &'a [Route], topology: &Topology) -> Self {
        let mut homes: Vec<&HomeRegions> = Vec::new();
        let mut bound = Vec::new();
        let has_home = |route: &&Route| route.homes.is_bound() && topology.has_home(&route.homes);
        for route in routes.iter().filter(has_home) {
            let place = homes.iter().position(|known| **known == route.homes);
            let place = place.unwrap_or_else(|| {
                homes.push(&route.homes);
                homes.len() - 1
            });
            bound.push((route, place));
        }
        Self { homes, routes: bound }
    }

    /// Notes the routes that have no home in common with a tenant.
    fn question_overlap(&self, tenant: &Tenant, topology: &Topology, findings: &mut HomeFindings) {
        let meets = |homes: &&HomeRegions| topology.has_home(&homes.intersection(&tenant.homes));
        let meeting: Vec<bool> = self.homes.iter().map(meets).collect();
        for (route, _) in self.routes.iter().filter(|(_, place)| !meeting[*place]) {
            findings.note(|| HomeProblem::NoOverlap {
                route: route.name.clone(),
                tenant: tenant.id.clone(),
            });
        }
    }
}
