//! What is questionable about the homes in a configuration.
//!
//! A configuration is valid whatever its homes are: regions come and go without it. Whoever puts
//! one in force tells what [`question_homes`] finds. Names of regions are compared as they are
//! written, so that `North` is not `north`.

use std::fmt;

use calicohoist_types::{Region, TenantId};

use crate::configuration::{Configuration, Route};
use crate::eligibility::HomeRegions;
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
    /// No zone lies in a region that is named. It is no home; the others are.
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

/// Finds what is questionable: regions without a zone, homes that are none, routes and tenants
/// whose homes do not meet, and retained turns that would be kept outside of their homes.
pub fn question_homes(configuration: &Configuration, topology: &Topology) -> Vec<HomeProblem> {
    let routes = &configuration.routes;
    let mut problems = Vec::new();
    for route in routes {
        question_owner(HomeOwner::Route(route.name.clone()), &route.homes, topology, &mut problems);
        if route.retain && !topology.is_covered_by(&route.homes) {
            let owner = HomeOwner::Route(route.name.clone());
            problems.push(HomeProblem::KeptElsewhere { owner });
        }
    }
    for tenant in configuration.tenants.iter().filter(|tenant| tenant.homes.is_bound()) {
        let owner = || HomeOwner::Tenant(tenant.id.clone());
        question_owner(owner(), &tenant.homes, topology, &mut problems);
        if routes.iter().any(|route| route.retain) && !topology.is_covered_by(&tenant.homes) {
            problems.push(HomeProblem::KeptElsewhere { owner: owner() });
        }
        let meets = |route: &Route| topology.has_home(&route.homes.intersection(&tenant.homes));
        let is_apart = |route: &&Route| topology.has_home(&route.homes) && !meets(route);
        if topology.has_home(&tenant.homes) {
            problems.extend(routes.iter().filter(is_apart).map(|route| HomeProblem::NoOverlap {
                route: route.name.clone(),
                tenant: tenant.id.clone(),
            }));
        }
    }
    problems
}

fn question_owner(
    owner: HomeOwner,
    homes: &HomeRegions,
    topology: &Topology,
    problems: &mut Vec<HomeProblem>,
) {
    let unknown = homes.regions().filter(|region| !topology.has_region(region));
    problems.extend(
        unknown.map(|region| HomeProblem::UnknownRegion {
            owner: owner.clone(),
            region: region.clone(),
        }),
    );
    if !topology.has_home(homes) {
        problems.push(HomeProblem::NoHome { owner });
    }
}
