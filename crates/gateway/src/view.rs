//! The part of the core's view that HTTP endpoints read directly.

use calicohoist_types::{ModelId, Revision, TenantId, TenantSpec};
use parking_lot::RwLock;

use crate::core::view::{DEFAULT_TENANT, FleetView};

#[derive(Default)]
struct Shared {
    ready: bool,
    applied: Revision,
    models: Vec<ModelId>,
    tenants: std::collections::BTreeMap<TenantId, TenantSpec>,
}

/// A copy of the view, updated by the core thread.
#[derive(Default)]
pub struct SharedView {
    shared: RwLock<Shared>,
}

impl SharedView {
    /// Updates the copy when the configuration revision or readiness changed.
    pub fn update(&self, view: &FleetView, ready: bool) {
        let is_current = {
            let shared = self.shared.read();
            shared.applied == view.applied() && shared.ready == ready
        };
        if is_current {
            return;
        }
        let mut shared = self.shared.write();
        shared.ready = ready;
        shared.applied = view.applied();
        shared.models = view.models();
        shared.tenants = view.tenants();
    }

    /// Returns whether the gateway may start new work.
    pub fn is_ready(&self) -> bool {
        self.shared.read().ready
    }

    /// Returns the names of all models.
    pub fn models(&self) -> Vec<ModelId> {
        self.shared.read().models.clone()
    }

    /// Returns a tenant's limits, or the defaults.
    pub fn tenant(&self, tenant: &TenantId) -> TenantSpec {
        let shared = self.shared.read();
        shared.tenants.get(tenant).cloned().unwrap_or(DEFAULT_TENANT)
    }
}
