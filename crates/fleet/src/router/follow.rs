//! Links to the control instances and to routers that relay for them, and what
//! this router passes on.

mod links;
mod tell;
mod told;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_group::Document;
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_types::stable_id;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;
use tokio::time::interval;

use super::followers::Followers;
use super::reports::{self, Reports};
use super::state::Router;
use crate::calls::TargetCall;
use crate::clock::BootTime;
use crate::link::{self, AcceptEvent, DialEvent, DialedLink, Hello, Role, RouterLocation};

/// Events that wait; links wait for room.
const QUEUE_EVENTS: usize = 256;
/// Time between two questions what is in force. Several fit into a lease, so
/// that one lost answer or an election changes nothing.
const ASK_PERIOD: Duration = Duration::from_millis(800);
/// Questions a second that the fleet asks at most: 250 to each control instance.
const ASK_PERIOD_A_ROUTER: Duration = Duration::from_millis(4);
/// Longest time between two questions; a lease of 4.75 s bears three lost ones.
const MAX_ASK_PERIOD: Duration = Duration::from_millis(1_400);
/// Time between two questions while the lease has not begun or has ended. A control instance that
/// comes up is asked at once, and so is one that is elected.
const ASK_PERIOD_WITHOUT_LEASE: Duration = Duration::from_millis(400);
/// Time between two batches of news about cached prompts.
const UPDATE_BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports of the requests at targets.
const LOADS_PERIOD: Duration = Duration::from_millis(250);
/// Time between two batches of reports without news; a target that reports every
/// second or two stays well below five missed reports.
const HEARD_PERIOD: Duration = Duration::from_millis(1_500);

enum Event {
    Control(DialEvent),
    Relay(DialEvent),
    Accepted(AcceptEvent),
    Target(TargetCall),
    Seeds(Vec<SocketAddr>),
}

/// Takes changes of the seeds.
#[derive(Clone)]
pub struct Seeds(Sender<Event>);

impl Seeds {
    /// Follows other control instances too.
    pub async fn change(&self, seeds: &[SocketAddr]) {
        // The receiver lives as long as the router.
        let _sent = self.0.send(Event::Seeds(seeds.to_vec())).await;
    }
}

/// Starts to follow the control instances, and takes links of other routers and
/// reports of targets.
pub fn start(
    router: Rc<Router>,
    settings: &ProcessSettings,
    links: TcpListener,
    reports: TcpListener,
) -> Seeds {
    let (events, receiver) = channel(QUEUE_EVENTS);
    let place = RouterLocation {
        data_centre: settings.data_centre.clone(),
        links: settings.links,
        reports: settings.reports,
    };
    let mut follower = Follower {
        reports: Reports::new(Rc::clone(&router)),
        router,
        hello: Hello {
            id: stable_id(&settings.instance),
            role: Role::Router(place.clone()),
        },
        place,
        events: events.clone(),
        controls: BTreeMap::new(),
        named_relays: BTreeMap::new(),
        relays: BTreeMap::new(),
        is_relay: false,
        requested: 0,
        document: None,
        followers: Followers::default(),
        prefixes: Vec::new(),
    };
    follower.follow(&settings.seeds);
    spawn_local(link::serve(links, events.clone(), Event::Accepted));
    spawn_local(reports::serve(reports, events.clone(), Event::Target));
    spawn_local(follower.run(receiver));
    Seeds(events)
}

struct FollowedLink {
    link: DialedLink,
    up: bool,
    named_until: Instant,
}

struct Follower {
    router: Rc<Router>,
    hello: Hello,
    place: RouterLocation,
    events: Sender<Event>,
    controls: BTreeMap<SocketAddr, FollowedLink>,
    /// Relays that each control instance names.
    named_relays: BTreeMap<SocketAddr, Vec<(String, SocketAddr)>>,
    relays: BTreeMap<SocketAddr, FollowedLink>,
    /// Whether control instances name this router as a relay.
    is_relay: bool,
    /// Version that a relay was asked for last.
    requested: u64,
    /// Configuration held, for followers.
    document: Option<Document>,
    followers: Followers,
    reports: Reports,
    /// Places of cached prompts that followers told, for the control instances.
    prefixes: Vec<(u64, u64)>,
}

impl Follower {
    async fn run(mut self, mut events: Receiver<Event>) {
        let mut ask = interval(ASK_PERIOD_WITHOUT_LEASE);
        let mut asked_at = Instant::now();
        let mut news = interval(UPDATE_BATCH_INTERVAL);
        let mut loads = interval(LOADS_PERIOD);
        let mut heard = interval(HEARD_PERIOD);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ask.tick() => {
                    let valid = self.router.lease.borrow().is_valid(BootTime::now());
                    if !valid || asked_at.elapsed() >= ask_period(self.router.routers()) {
                        asked_at = Instant::now();
                        self.ask();
                    }
                }
                _ = news.tick() => {
                    self.router.refresh_targets();
                    self.send_news();
                }
                _ = loads.tick() => self.send_loads(),
                _ = heard.tick() => self.send_heard(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Control(event) => self.control(event),
            Event::Relay(event) => self.relay(event),
            Event::Accepted(event) => self.accepted(event),
            Event::Target(call) => self.target_call(call),
            Event::Seeds(seeds) => self.follow(&seeds),
        }
    }
}

/// Time between two questions what is in force. The questions of a large fleet
/// would take most of a leader's processor.
fn ask_period(routers: u32) -> Duration {
    (ASK_PERIOD_A_ROUTER * routers).clamp(ASK_PERIOD, MAX_ASK_PERIOD)
}
