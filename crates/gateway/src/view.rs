//! The part of the core's view that endpoints read without asking the core.

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

/// A copy of the view, renewed by the core's duty when it changes.
#[derive(Default)]
pub struct SharedView {
    shared: RwLock<Shared>,
}

impl SharedView {
    /// Renews the copy.
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

    /// Whether the gateway may start work.
    pub fn is_ready(&self) -> bool {
        self.shared.read().ready
    }

    /// The names of all models.
    pub fn models(&self) -> Vec<ModelId> {
        self.shared.read().models.clone()
    }

    /// A tenant's limits.
    pub fn tenant(&self, tenant: &TenantId) -> TenantSpec {
        let shared = self.shared.read();
        shared.tenants.get(tenant).cloned().unwrap_or(DEFAULT_TENANT)
    }
}
