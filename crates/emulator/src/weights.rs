//! Emulated weight store: serves model weights over one bandwidth-limited link.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};
use calicohoist_types::backend_api::{TransferReply, TransferRequest};
use calicohoist_types::{ModelId, Moment};
use parking_lot::Mutex;
use serde_json::json;

use crate::clock::RealClock;

/// I/O-free model of the link; transfers are serialized.
#[derive(Debug)]
pub struct WeightStoreModel {
    bytes_per_second: u64,
    sizes: BTreeMap<ModelId, u64>,
    busy_until: Moment,
}

impl WeightStoreModel {
    /// Creates a store with a link rate and the size of each model in bytes.
    pub fn new(bytes_per_second: u64, sizes: BTreeMap<ModelId, u64>) -> Self {
        Self { bytes_per_second: bytes_per_second.max(1), sizes, busy_until: Moment::ZERO }
    }

    /// Queues a transfer and returns its completion time, or `None` for an unknown model.
    pub fn transfer(&mut self, now: Moment, model: &ModelId) -> Option<Moment> {
        let size = *self.sizes.get(model)?;
        let seconds = size as f64 / self.bytes_per_second as f64;
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(seconds);
        Some(self.busy_until)
    }
}

struct WeightHandler {
    model: Mutex<WeightStoreModel>,
    clock: RealClock,
}

/// HTTP server that runs the weight store in real time.
pub struct WeightStoreServer {
    http: HttpServer,
}

impl WeightStoreServer {
    /// Starts the server on `listener`.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be spawned.
    pub fn start(model: WeightStoreModel, listener: TcpListener) -> std::io::Result<Self> {
        let handler = Arc::new(WeightHandler { model: Mutex::new(model), clock: RealClock });
        let settings = ServerSettings { workers: 2, ..ServerSettings::default() };
        let http = HttpServer::start_on(listener, settings, handler)?;
        Ok(Self { http })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }
}

impl Handler for WeightHandler {
    fn handle(&self, mut exchange: Exchange) {
        let Ok(request) = exchange.read_json::<TransferRequest>() else {
            return exchange.reply_json(400, &[], &json!({ "error": "not a transfer" }));
        };
        let now = self.clock.now();
        match self.model.lock().transfer(now, &request.model) {
            Some(ready) => {
                let ready_in_micros = ready.since(now).as_micros() as u64;
                exchange.reply_json(200, &[], &TransferReply { ready_in_micros });
            }
            None => exchange.reply_json(404, &[], &json!({ "error": "no such model" })),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_json(503, &[], &json!({ "error": "too many requests" }));
    }
}
