//! Zones, delays and sizes of the two reference deployments.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reference deployment that a fleet emulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Municipal print on demand: permits, funeral notices, ballots.
    Celje,
    /// Water and press utility: reporters, outages, subscribers.
    Kushiro,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "celje" => Ok(Self::Celje),
            "kushiro" => Ok(Self::Kushiro),
            _ => Err(format!("{text:?} is not a deployment; expected celje or kushiro")),
        }
    }
}

impl Deployment {
    /// Name on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Celje => "celje",
            Self::Kushiro => "kushiro",
        }
    }

    /// Names of the zones.
    pub const fn zones(self) -> [&'static str; 4] {
        match self {
            Self::Celje => ["hala-a", "hala-b", "mestna-hisa", "skladisce"],
            Self::Kushiro => ["kushiro-hall", "obihiro-hall", "nemuro-hall", "doto"],
        }
    }

    /// One-way network delay between zones.
    pub const fn zone_delay(self) -> Duration {
        match self {
            Self::Celje => Duration::from_micros(1_500),
            Self::Kushiro => Duration::from_micros(500),
        }
    }

    /// One-way network delay between clients and gateways.
    pub const fn client_delay(self) -> Duration {
        match self {
            Self::Celje => Duration::from_millis(3),
            Self::Kushiro => Duration::from_millis(1),
        }
    }

    /// Name of the model.
    pub const fn model(self) -> &'static str {
        match self {
            Self::Celje => "notice-writer",
            Self::Kushiro => "newsroom",
        }
    }

    /// Name of the tool service.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Celje => "print-order",
            Self::Kushiro => "utility-records",
        }
    }

    /// Number of engines.
    pub const fn engines(self) -> usize {
        10
    }

    /// Number of replicas of the tool service.
    pub const fn replicas(self) -> usize {
        10
    }

    /// Number of gateways.
    pub const fn gateways(self) -> usize {
        4
    }

    /// Number of store machines, each in its own zone.
    pub const fn stores(self) -> u32 {
        3
    }
}
