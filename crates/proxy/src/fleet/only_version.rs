//! Services all of whose replicas have the same software version.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::SoftwareVersion;

use super::services::Services;

/// Reason for which a service cannot be said to have had a single version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUncertainty {
    /// The service has replicas of several or unknown versions, or none.
    SeveralVersions,
    /// The gateway has not known the service long enough, or its version has changed recently.
    RecentList,
    /// The list of replicas is out of date.
    OldList,
}

/// Only version of each service that has one, over successive lists.
#[derive(Debug, Default)]
pub(super) struct OnlyVersions(HashMap<String, OnlyVersion>);

#[derive(Clone, Debug)]
struct OnlyVersion {
    version: SoftwareVersion,
    /// Time of the first of the successive lists with only this version.
    since: Instant,
}

impl OnlyVersions {
    /// Records a list received at `now`.
    pub(super) fn update(&mut self, services: &Services, now: Instant) {
        let mut previous = std::mem::take(&mut self.0);
        for service in services.names() {
            let mut versions =
                services.members_of(service).iter().map(|member| member.replica.version.as_ref());
            let Some(Some(version)) = versions.next() else {
                continue;
            };
            if !versions.all(|other| other == Some(version)) {
                continue;
            }
            let known = previous.remove(service).filter(|known| known.version == *version);
            let only =
                known.unwrap_or_else(|| OnlyVersion { version: version.clone(), since: now });
            self.0.insert(service.to_owned(), only);
        }
    }

    /// Returns the only version of a service if it has been so for at least `duration`.
    pub(super) fn get(
        &self,
        service: &str,
        duration: Duration,
        now: Instant,
    ) -> Result<SoftwareVersion, VersionUncertainty> {
        let only = self.0.get(service).ok_or(VersionUncertainty::SeveralVersions)?;
        if now.saturating_duration_since(only.since) < duration {
            return Err(VersionUncertainty::RecentList);
        }
        Ok(only.version.clone())
    }
}
