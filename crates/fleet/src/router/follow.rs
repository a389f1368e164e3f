//! Links to the control instances and to the routers that act as relays for them.
//!
//! A [`Follower`] receives the configuration, the targets and the load totals over
//! these links, and sends reports and loads. When this router is a relay itself, the
//! follower also forwards what it receives to the routers that follow this one.

mod config;
mod links;
mod receive;
mod send;
mod streams;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_platform::settings::ProcessSettings;
use bamboospur_types::{BufferBudget, stable_id};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{interval, sleep_until};

use super::config_requests::ConfigRequests;
use super::control_addresses::ControlAddresses;
use super::followers::Followers;
use super::lease::ConfigState;
use super::origin_queries::OriginQueries;
use super::reports::{self, Reports};
use super::state::{OriginQuery, Router};
use super::state_request::StateRequest;
use crate::calls::TargetCall;
use crate::clock::BootTime;
use crate::link::{
    self, AcceptEvent, DialEvent, DialedLink, Hello, Requests, Role, RouterLocation,
};
use crate::loads::{MIN_LOADS_INTERVAL, loads_interval};
use crate::outbox::Outbox;
use crate::process::{Listener, spawn_essential};

/// Capacity of the event queue; links wait while the queue is full.
const MAX_QUEUED_EVENTS: usize = 256;
/// Shortest time between two queries for the configuration in force. Several
/// queries fit into a lease, so that the lease survives one lost answer or an
/// election.
const QUERY_INTERVAL: Duration = Duration::from_millis(800);
/// Query interval per router of the fleet, which limits a fleet of up to 350 routers
/// to 250 queries per second to each control instance.
const QUERY_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(4);
/// Longest time between two queries; a lease of 4.75 s survives three lost queries.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(1_400);
/// Time between two queries without a recent confirmation. A control instance whose link
/// comes up or that is elected leader is queried at once as well.
const QUERY_INTERVAL_UNCONFIRMED: Duration = Duration::from_millis(400);
/// Time between two batches of target updates and of newly cached prompts.
const UPDATE_BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two batches of unchanged target reports. A target that reports every
/// second or two stays well below five missed reports.
const REFRESHED_REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

enum Event {
    Control(DialEvent),
    Relay(DialEvent),
    Accepted(AcceptEvent),
    Target(TargetCall),
    Seeds(Vec<SocketAddr>),
}

/// Passes changed seed addresses to the follower.
#[derive(Clone)]
pub struct SeedUpdater(Sender<Event>);

impl SeedUpdater {
    /// Adds links to the control instances at `seeds`.
    pub async fn update(&self, seeds: &[SocketAddr]) {
        // The receiver lives as long as the router.
        let _sent = self.0.send(Event::Seeds(seeds.to_vec())).await;
    }
}

/// Starts the links to the control instances, and accepts links of other routers and
/// reports of targets.
pub fn start(
    router: Rc<Router>,
    settings: &ProcessSettings,
    links: Listener,
    reports: Listener,
    buffers: BufferBudget,
    origin_queries: Receiver<OriginQuery>,
) -> SeedUpdater {
    let (events, receiver) = channel(MAX_QUEUED_EVENTS);
    let location = RouterLocation {
        data_centre: settings.data_centre.clone(),
        links: settings.link_address,
        reports: settings.report_address,
    };
    let mut follower = Follower {
        buffers,
        reports: Reports::new(Rc::clone(&router)),
        router,
        hello: Hello {
            id: stable_id(&settings.instance),
            role: Role::Router(location.clone()),
        },
        location,
        events: events.clone(),
        controls: BTreeMap::new(),
        control_addresses: ControlAddresses::default(),
        leader: None,
        crash_hubs: Vec::new(),
        named_relays: BTreeMap::new(),
        relays: BTreeMap::new(),
        is_relay: false,
        config_requests: ConfigRequests::default(),
        state_request: StateRequest::default(),
        outbox: Outbox::new(settings.link_bytes_per_s, Instant::now()),
        followers: Followers::default(),
        reported_prefixes: Vec::new(),
        origin_queries: OriginQueries::default(),
        version_queries: Requests::default(),
    };
    follower.set_seeds(&settings.seeds);
    spawn_essential("links", link::serve(links, events.clone(), Event::Accepted));
    spawn_essential(
        "reports",
        reports::serve(reports, events.clone(), Event::Target),
    );
    spawn_essential("follower", follower.run(receiver, origin_queries));
    SeedUpdater(events)
}

/// A link to a control instance or a relay.
struct FollowedLink {
    link: DialedLink,
    up: bool,
    /// Time of the last frame from the peer.
    heard_at: Option<Instant>,
}

/// Task that owns the links of this router to control instances, relays and followers.
struct Follower {
    /// Budget for frames on links.
    buffers: BufferBudget,
    router: Rc<Router>,
    hello: Hello,
    location: RouterLocation,
    events: Sender<Event>,
    controls: BTreeMap<SocketAddr, FollowedLink>,
    control_addresses: ControlAddresses,
    /// Link address of the leader of the control group, as last heard.
    leader: Option<SocketAddr>,
    /// Control instances to which crashes were last reported.
    crash_hubs: Vec<SocketAddr>,
    /// Data centres and addresses of the relays that each control instance names.
    named_relays: BTreeMap<SocketAddr, Vec<(String, SocketAddr)>>,
    relays: BTreeMap<SocketAddr, FollowedLink>,
    /// Whether a control instance names this router as a relay.
    is_relay: bool,
    /// Requests for the newest configuration that the router has heard of.
    config_requests: ConfigRequests,
    /// Request for the state that may have been missed while there was no link.
    state_request: StateRequest,
    /// Configurations that were in force here, and what followers wait for.
    outbox: Outbox,
    followers: Followers,
    reports: Reports,
    /// Cached prompts that followers reported, with the targets that hold them; sent
    /// to the relay or control instance with the next batch.
    reported_prefixes: Vec<(u64, u64)>,
    /// Queries for the origins of streams that callers resume.
    origin_queries: OriginQueries<OriginQuery>,
    /// Queries for the version in force, and when they were sent.
    version_queries: Requests<BootTime>,
}

impl Follower {
    async fn run(mut self, mut events: Receiver<Event>, mut queries: Receiver<OriginQuery>) {
        let router = Rc::clone(&self.router);
        let mut query = interval(QUERY_INTERVAL_UNCONFIRMED);
        let mut queried_at = Instant::now();
        let mut updates = interval(UPDATE_BATCH_INTERVAL);
        let mut loads = interval(MIN_LOADS_INTERVAL);
        let mut next_loads_at = Instant::now();
        let mut refreshed = interval(REFRESHED_REPORT_INTERVAL);
        loop {
            self.send_outbox(Instant::now());
            let outbox_at = self.outbox.next_at().unwrap_or_else(Instant::now).into();
            let query_at = self.origin_queries.next_timeout();
            let query_at = query_at.unwrap_or_else(Instant::now).into();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = sleep_until(outbox_at), if self.outbox.next_at().is_some() => {}
                Some(query) = queries.recv() => self.query_origin(query),
                () = sleep_until(query_at), if self.origin_queries.next_timeout().is_some() => {
                    self.handle_origin_timeouts();
                }
                () = router.stream_began.notified() => self.report_begun_streams(),
                () = router.crashes.pending.notified() => self.send_crash_messages(),
                _ = query.tick() => {
                    self.config_requests.forget_lacking();
                    self.request_config_if_behind();
                    let confirmed = self.router.config_state() == ConfigState::Confirmed;
                    if !confirmed || queried_at.elapsed() >= query_interval(self.router.router_count()) {
                        queried_at = Instant::now();
                        self.query_controls();
                    }
                }
                _ = updates.tick() => {
                    self.router.apply_pending_targets();
                    self.request_config_if_behind();
                    self.request_state_if_due();
                    self.send_cached_prefixes();
                    self.report_begun_streams();
                    self.report_leaving_targets();
                    self.report_stated_limits();
                    self.send_crash_messages();
                }
                _ = loads.tick() => {
                    let now = Instant::now();
                    if now >= next_loads_at {
                        next_loads_at = now + loads_interval(router.router_count());
                        self.send_loads();
                    }
                }
                _ = refreshed.tick() => self.send_refreshed_reports(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Control(event) => self.handle_control_event(event),
            Event::Relay(event) => self.handle_relay_event(event),
            Event::Accepted(event) => self.handle_accept_event(event),
            Event::Target(call) => self.handle_target_call(call),
            Event::Seeds(seeds) => self.set_seeds(&seeds),
        }
    }
}

/// Time between two queries for the configuration in force. At a fixed interval, the
/// queries of a large fleet would take most of the leader's processor time.
fn query_interval(routers: u32) -> Duration {
    (QUERY_INTERVAL_PER_ROUTER * routers).clamp(QUERY_INTERVAL, MAX_QUERY_INTERVAL)
}
