//! The places and sizes of the two services.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Which service a fleet stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Municipal print on demand: counters, permits, funeral notices, ballots.
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
            _ => Err(format!("{text:?} is not accepted; accepted are celje and kushiro")),
        }
    }
}

impl Deployment {
    /// Its name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Celje => "celje",
            Self::Kushiro => "kushiro",
        }
    }

    /// Its zones.
    pub const fn zones(self) -> [&'static str; 4] {
        match self {
            Self::Celje => ["hala-a", "hala-b", "mestna-hisa", "skladisce"],
            Self::Kushiro => ["kushiro-hall", "obihiro-hall", "nemuro-hall", "doto"],
        }
    }

    /// One-way delay between zones.
    pub const fn zone_delay(self) -> Duration {
        match self {
            Self::Celje => Duration::from_micros(1_500),
            Self::Kushiro => Duration::from_micros(500),
        }
    }

    /// One-way delay to clients.
    pub const fn client_delay(self) -> Duration {
        match self {
            Self::Celje => Duration::from_millis(3),
            Self::Kushiro => Duration::from_millis(1),
        }
    }

    /// Its model.
    pub const fn model(self) -> &'static str {
        match self {
            Self::Celje => "notice-writer",
            Self::Kushiro => "newsroom",
        }
    }

    /// Its tool service.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Celje => "print-order",
            Self::Kushiro => "utility-records",
        }
    }

    /// Engine replicas.
    pub const fn engines(self) -> usize {
        10
    }

    /// Service replicas.
    pub const fn replicas(self) -> usize {
        10
    }

    /// Gateways.
    pub const fn gateways(self) -> usize {
        4
    }

    /// Store machines, each in a zone of its own.
    pub const fn stores(self) -> u32 {
        3
    }
}
