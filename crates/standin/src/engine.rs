//! Stand-in model engine. It streams deterministic tokens, keeps a bounded prefix
//! cache, resumes and cancels streams, and executes orders.

mod chat;
mod generate;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use bamboospur_types::{Offer, TargetKind, TargetRecord};
use serde_json::json;
use tiny_http::{Method, Request, Server};

use crate::announcer::{AnnounceSettings, Announcer, Load};
use crate::cache::PrefixCache;
use crate::http;
use crate::orders::{Order, OrderState};

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
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
    /// Offers that are loaded at the start.
    pub offers: BTreeSet<Offer>,
    /// Announced capacity. New requests are refused while twice as many requests
    /// are in progress.
    pub capacity_requests: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay before the first token.
    pub first_token: Duration,
    /// Delay after each token.
    pub token_interval: Duration,
    /// Whether orders with a lower fencing token than an earlier one are refused.
    pub checks_fencing: bool,
    /// Whether each event carries the time at which it was sent, as `sent_unix_us`.
    pub stamps_events: bool,
    /// Instances to announce the engine to; `None` leaves it unannounced.
    pub announce: Option<AnnounceSettings>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let offer = Offer {
            model: "demo-chat".to_owned(),
            version: String::new(),
            adapter: None,
        };
        Self {
            name: "engine-01".to_owned(),
            incarnation: 1,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: "dev".to_owned(),
            pool: "demo-chat".to_owned(),
            offers: BTreeSet::from([offer]),
            capacity_requests: 64,
            cache_tokens: 200_000,
            first_token: Duration::from_millis(20),
            token_interval: Duration::from_millis(10),
            checks_fencing: true,
            stamps_events: false,
            announce: None,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    runs: AtomicU64,
    resumes: AtomicU64,
    cancels: AtomicU64,
    prompt_tokens: AtomicU64,
    cached_tokens: AtomicU64,
}

/// Snapshot of the counters of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStats {
    /// Generations started. A resumed stream doesn't count.
    pub runs: u64,
    /// Streams resumed.
    pub resumes: u64,
    /// Requests cancelled.
    pub cancels: u64,
    /// Prompt tokens received.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    settings: EngineSettings,
    load: Arc<Load>,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderState>,
    /// Generations in progress or open for a resume, by request id.
    generations: Mutex<BTreeMap<String, generate::Generation>>,
    counters: Counters,
    announcer: Mutex<Option<Announcer>>,
    cache_event_count: AtomicU64,
}

/// A running stand-in engine; dropping it stops announcing.
pub struct Engine {
    address: SocketAddr,
    state: Arc<State>,
    server: Arc<Server>,
}

impl Engine {
    /// Starts the HTTP server and announces the engine if the settings ask for it.
    ///
    /// # Errors
    ///
    /// Returns a message when the address cannot be bound.
    pub fn start(settings: EngineSettings) -> Result<Self, String> {
        let listen = settings.listen;
        let state = Arc::new(State {
            load: Arc::default(),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            orders: Mutex::new(OrderState::new(
                settings.offers.clone(),
                settings.checks_fencing,
            )),
            generations: Mutex::default(),
            counters: Counters::default(),
            announcer: Mutex::default(),
            cache_event_count: AtomicU64::new(0),
            settings,
        });
        let handler_state = Arc::clone(&state);
        let (server, address) =
            http::serve(listen, move |request| handle(&handler_state, request))?;
        start_announcing(&state, address);
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Returns the address on which the engine listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters at this moment.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        let counters = &self.state.counters;
        EngineStats {
            runs: counters.runs.load(Ordering::Relaxed),
            resumes: counters.resumes.load(Ordering::Relaxed),
            cancels: counters.cancels.load(Ordering::Relaxed),
            prompt_tokens: counters.prompt_tokens.load(Ordering::Relaxed),
            cached_tokens: counters.cached_tokens.load(Ordering::Relaxed),
        }
    }

    /// Reports the engine as draining from the next heartbeat on.
    pub fn drain(&self) {
        if let Some(announcer) = lock(&self.state.announcer).as_ref() {
            announcer.drain();
        }
    }

    /// Pauses or resumes heartbeats without leaving the fleet.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        if let Some(announcer) = lock(&self.state.announcer).as_ref() {
            announcer.set_heartbeats_paused(paused);
        }
    }

    /// Leaves the fleet and stops listening.
    pub fn stop(self) {
        let announcer = lock(&self.state.announcer).take();
        if let Some(announcer) = announcer {
            announcer.leave();
        }
        self.server.unblock();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        // Requests in progress may keep the state alive; the heartbeats end here anyway.
        let announcer = lock(&self.state.announcer).take();
        drop(announcer);
        self.server.unblock();
    }
}

fn start_announcing(state: &Arc<State>, address: SocketAddr) {
    let settings = &state.settings;
    let Some(announce) = settings.announce.clone() else {
        return;
    };
    let record = TargetRecord {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
        address,
        data_centre: settings.data_centre.clone(),
        pool: settings.pool.clone(),
        kind: TargetKind::Engine,
        offers: settings.offers.iter().cloned().collect(),
        capacity_tokens: settings.cache_tokens,
        capacity_requests: settings.capacity_requests,
        checks_fencing: settings.checks_fencing,
    };
    let announcer = Announcer::start(announce, record, Arc::clone(&state.load));
    *lock(&state.announcer) = Some(announcer);
}

fn handle(state: &Arc<State>, mut request: Request) {
    let method = request.method().clone();
    let path = request.url().to_owned();
    match (method, path.as_str()) {
        (Method::Post, "/v1/chat/completions") => chat::handle_completion(state, request),
        (Method::Post, "/v1/cancel") => {
            let body = http::read_body(&mut request);
            let found = chat::cancel(state, &body);
            http::respond(request, 200, &json!({"cancelled": found}), &[]);
        }
        (Method::Post, "/orders") => handle_order(state, request),
        (Method::Get, "/orders") => {
            let report = lock(&state.orders).report();
            http::respond(request, 200, &report, &[]);
        }
        (Method::Get, "/health") => http::respond(request, 200, &json!({"ok": true}), &[]),
        _ => http::respond(request, 404, &json!({"error": "no such path"}), &[]),
    }
}

fn handle_order(state: &State, mut request: Request) {
    let body = http::read_body(&mut request);
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        http::respond(request, 400, &json!({"error": "malformed order"}), &[]);
        return;
    };
    let (status, answer, offers) = {
        let mut orders = lock(&state.orders);
        let (status, answer) = orders.execute(&order, now_unix_ms());
        (status, answer, orders.offers.iter().cloned().collect())
    };
    if let Some(announcer) = lock(&state.announcer).as_ref() {
        announcer.set_offers(offers);
    }
    http::respond(request, status, &answer, &[]);
}

fn now_unix_ms() -> u64 {
    now_unix_us() / 1000
}

pub(crate) fn now_unix_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
