//! Stand-in records service. Each answer says how many times the request's
//! idempotency key has run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bamboospur_types::{TargetKind, TargetRecord};
use serde_json::{Value, json};
use tiny_http::{Request, Server};

use crate::announcer::{AnnounceSettings, Announcer, Load};
use crate::http;

/// Load that one request counts for.
const CALL_WORK_TOKENS: u64 = 1;

/// Settings of a stand-in records service.
#[derive(Clone, Debug)]
pub struct RecordsSettings {
    /// Name of the target, unique in the fleet.
    pub name: String,
    /// Number of this start of the target; a later start has a larger one.
    pub incarnation: u64,
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the target's pool.
    pub pool: String,
    /// Time that each request takes.
    pub call_time: Duration,
    /// Instances to announce the service to; `None` leaves it unannounced.
    pub announce: Option<AnnounceSettings>,
}

impl Default for RecordsSettings {
    fn default() -> Self {
        Self {
            name: "records-01".to_owned(),
            incarnation: 1,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: "dev".to_owned(),
            pool: "records".to_owned(),
            call_time: Duration::from_millis(5),
            announce: None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    runs: Mutex<BTreeMap<String, u64>>,
    load: Arc<Load>,
}

/// A running stand-in records service; dropping it stops announcing.
pub struct RecordsService {
    address: SocketAddr,
    state: Arc<State>,
    announcer: Option<Announcer>,
    server: Arc<Server>,
}

impl RecordsService {
    /// Starts the HTTP server and announces the service if the settings ask for it.
    ///
    /// # Errors
    ///
    /// Returns a message when the address cannot be bound.
    pub fn start(settings: RecordsSettings) -> Result<Self, String> {
        let state = Arc::new(State::default());
        let handler_state = Arc::clone(&state);
        let call_time = settings.call_time;
        let (server, address) = http::serve(settings.listen, move |request| {
            handle(&handler_state, call_time, request);
        })?;
        let record = TargetRecord {
            name: settings.name,
            incarnation: settings.incarnation,
            address,
            data_centre: settings.data_centre,
            pool: settings.pool,
            kind: TargetKind::Service,
            offers: Vec::new(),
            capacity_tokens: 64,
            capacity_requests: 64,
            checks_fencing: false,
        };
        let load = Arc::clone(&state.load);
        let announcer = settings
            .announce
            .map(|announce| Announcer::start(announce, record, load));
        Ok(Self {
            address,
            state,
            announcer,
            server,
        })
    }

    /// Returns the address on which the service listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many times an idempotency key has run.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        let runs = self.state.runs.lock();
        let runs = runs.unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the announcer; `None` when the service is not announced.
    #[must_use]
    pub fn announcer(&self) -> Option<&Announcer> {
        self.announcer.as_ref()
    }

    /// Leaves the fleet and stops listening.
    pub fn stop(mut self) {
        if let Some(announcer) = self.announcer.take() {
            announcer.leave();
        }
        self.server.unblock();
    }
}

impl Drop for RecordsService {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn handle(state: &State, call_time: Duration, mut request: Request) {
    state.load.start(CALL_WORK_TOKENS);
    let body = http::read_body(&mut request);
    thread::sleep(call_time);
    let answer = run(state, &request, &body);
    state.load.end(CALL_WORK_TOKENS);
    http::respond(request, 200, &answer, &[]);
}

fn run(state: &State, request: &Request, body: &[u8]) -> Value {
    let key = http::header(request, "idempotency-key");
    let run = key.as_ref().map(|key| {
        let runs = state.runs.lock();
        let mut runs = runs.unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.clone()).or_insert(0);
        *count += 1;
        *count
    });
    json!({
        "path": request.url(),
        "method": request.method().to_string(),
        "status": "current",
        "received_bytes": body.len(),
        "key": key,
        "run": run,
    })
}
