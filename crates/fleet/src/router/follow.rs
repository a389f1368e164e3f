//! Links to the control instances and to routers that relay for them, and what
//! this router passes on.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_dispatch::CachedPrefix;
use bamboospur_group::Document;
use bamboospur_platform::config;
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_types::{mix64, stable_id};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;
use tokio::time::interval;
use tracing::{error, info, warn};

use super::followers::Followers;
use super::reports::{self, Reports};
use super::state::Router;
use crate::calls::TargetCall;
use crate::clock::BootTime;
use crate::link::{
    self, AcceptEvent, Dialed, Frame, Hello, LinkEvent, LinkId, Role, RouterPlace, dial,
};

/// Events that wait; links wait for room.
const QUEUE_EVENTS: usize = 256;
/// Time between two questions what is in force. Several fit into a lease, so
/// that one lost answer or an election changes nothing.
const ASK_PERIOD: Duration = Duration::from_millis(800);
/// Questions a second that the fleet asks at most: 250 to each control instance.
const ASK_PERIOD_A_ROUTER: Duration = Duration::from_millis(4);
/// Longest time between two questions; a lease of 4.75 s bears three lost ones.
const MAX_ASK_PERIOD: Duration = Duration::from_millis(1_400);
/// The same while the lease has not begun or has ended. A control instance that
/// comes up is asked at once, and so is one that is elected.
const ASK_PERIOD_WITHOUT_LEASE: Duration = Duration::from_millis(400);
/// An address that no control instance has named for this time is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time between two batches of news about cached prompts.
const NEWS_PERIOD: Duration = Duration::from_millis(100);
/// Time between two reports of the requests at targets.
const LOADS_PERIOD: Duration = Duration::from_millis(250);
/// Time between two batches of reports without news; a target that reports every
/// second or two stays well below five missed reports.
const HEARD_PERIOD: Duration = Duration::from_millis(1_500);
/// Places of cached prompts that a follower starts from.
const MAX_CACHED_PREFIXES: usize = 4_096;

enum Event {
    Control(LinkEvent),
    Relay(LinkEvent),
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
    let place = RouterPlace {
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
    link: Dialed,
    up: bool,
    named_until: Instant,
}

struct Follower {
    router: Rc<Router>,
    hello: Hello,
    place: RouterPlace,
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
        let mut news = interval(NEWS_PERIOD);
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

    fn follow(&mut self, addresses: &[SocketAddr]) {
        let named_until = Instant::now() + FORGET_AFTER;
        for &address in addresses {
            let (hello, events) = (&self.hello, &self.events);
            let followed = self
                .controls
                .entry(address)
                .or_insert_with(|| FollowedLink {
                    link: dial(address, hello.clone(), events.clone(), Event::Control),
                    up: false,
                    named_until,
                });
            followed.named_until = named_until;
        }
    }

    /// Follows the relays of this data centre. A relay itself follows none.
    fn follow_relays(&mut self) {
        let all = self.named_relays.values().flatten();
        let near = all.filter(|(data_centre, _)| *data_centre == self.place.data_centre);
        let mut near: BTreeSet<SocketAddr> = near.map(|&(_, address)| address).collect();
        let is_relay = near.contains(&self.place.links);
        if is_relay {
            near.clear();
        }
        if is_relay && !self.is_relay {
            self.request_targets();
        }
        self.is_relay = is_relay;
        self.relays.retain(|address, _| near.contains(address));
        for address in near {
            let (hello, events) = (&self.hello, &self.events);
            self.relays.entry(address).or_insert_with(|| FollowedLink {
                link: dial(address, hello.clone(), events.clone(), Event::Relay),
                up: false,
                named_until: Instant::now(),
            });
        }
    }

    /// Asks one control instance for everything that is known of targets; the
    /// others send news only.
    fn request_targets(&self) {
        if let Some(control) = self.first_choice(&self.controls) {
            info!("this router relays");
            // The queue of a link that is up has room.
            let _sent = control.link.send(Frame::RequestTargets);
        }
    }

    fn ask(&mut self) {
        let now = Instant::now();
        if self.controls.len() > 1 {
            self.controls
                .retain(|_, followed| now < followed.named_until);
        }
        let asked = BootTime::now();
        for followed in self.controls.values() {
            // A link that is down or full is asked again next time.
            let _sent = followed.link.send(Frame::Ask(asked.0));
        }
        for followed in self.relays.values() {
            let _sent = followed.link.send(Frame::Alive(asked.0));
        }
    }

    fn ask_one(&self, address: SocketAddr) {
        if let Some(followed) = self.controls.get(&address) {
            // It is asked again with all others.
            let _sent = followed.link.send(Frame::Ask(BootTime::now().0));
        }
    }

    /// Tells the other routers where prompts are cached.
    fn send_news(&mut self) {
        if self.partner().is_none() {
            return;
        }
        let news = self.router.dispatcher.borrow_mut().take_news();
        let own: Vec<_> = news.iter().map(|news| (news.shared, news.cache)).collect();
        if !own.is_empty() {
            let frame = Frame::CachedPrefixes(own.clone());
            self.followers.tell_partners(None, &frame);
        }
        let mut prefixes = std::mem::take(&mut self.prefixes);
        prefixes.extend(own);
        if let Some(partner) = self.partner().filter(|_| !prefixes.is_empty()) {
            // Lost news costs other routers a read of the prompt.
            let _sent = partner.link.send(Frame::CachedPrefixes(prefixes));
        }
    }

    /// Returns the link over which this router tells and is told: that of a relay,
    /// or else of a control instance. Routers spread over them.
    fn partner(&self) -> Option<&FollowedLink> {
        let relay = self.first_choice(&self.relays);
        relay.or_else(|| self.first_choice(&self.controls))
    }

    fn first_choice<'a>(
        &self,
        links: &'a BTreeMap<SocketAddr, FollowedLink>,
    ) -> Option<&'a FollowedLink> {
        let rank = |address: &SocketAddr| mix64(self.hello.id ^ stable_id(&address.to_string()));
        let up = links.iter().filter(|(_, followed)| followed.up);
        up.max_by_key(|(address, _)| rank(address))
            .map(|(_, followed)| followed)
    }

    fn send_loads(&mut self) {
        let Some(link) = self.partner().map(|partner| partner.link.clone()) else {
            return;
        };
        let now = Instant::now();
        let own = self.router.dispatcher.borrow_mut().tell_loads(now);
        let sums = self.followers.sums(self.hello.id, own, now);
        // Lost loads are told again.
        let _sent = link.send(Frame::Loads(sums));
    }

    /// Tells a control instance which targets report here.
    fn send_heard(&mut self) {
        let heard = self.reports.take_heard(Instant::now());
        if let Some(frame) = heard
            && let Some(control) = self.first_choice(&self.controls)
        {
            // The next batch follows before the targets count as silent.
            let _sent = control.link.send(frame);
        }
    }

    /// Takes a call of a target. Without a control instance it is refused, and the
    /// target calls another instance.
    fn target_call(&mut self, call: TargetCall) {
        let Some(link) = self.first_choice(&self.controls).map(|c| c.link.clone()) else {
            info!("a report is refused without a control instance");
            return;
        };
        if let Some(frame) = self.reports.take(call, Instant::now()) {
            // Without an answer the target calls again.
            let _sent = link.send(frame);
        }
    }

    /// Asks for the configuration when a newer one than the one held is in force:
    /// first a relay, so that a control instance need not send it to every router.
    fn request_newer(&mut self, address: SocketAddr, version: u64) {
        if version <= self.router.config_version() {
            return;
        }
        let relay = self.first_choice(&self.relays);
        let relay = relay.filter(|_| version > self.requested);
        if let Some(followed) = relay.or_else(|| self.controls.get(&address)) {
            // It is asked for again with the next answer.
            let _sent = followed.link.send(Frame::RequestConfig);
        }
        self.requested = version;
    }

    fn control(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = true;
                    let reporting = self.reports.reporting();
                    if !reporting.is_empty() {
                        // The targets report again, too.
                        let _sent = followed.link.send(Frame::Targets(reporting));
                    }
                }
                if self.is_relay && self.controls.values().filter(|c| c.up).count() == 1 {
                    self.request_targets();
                }
                self.ask_one(address);
            }
            LinkEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = false;
                }
                // The last list stays, as only relays tell of targets then.
                if self.named_relays.len() > 1 {
                    self.named_relays.remove(&address);
                    self.follow_relays();
                }
            }
            LinkEvent::Frame(address, frame) => {
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.named_until = Instant::now() + FORGET_AFTER;
                }
                self.control_frame(address, frame);
            }
        }
    }

    fn control_frame(&mut self, address: SocketAddr, frame: Frame) {
        match frame {
            Frame::Controls(addresses) => self.follow(&addresses),
            Frame::Leader(leader) => {
                self.follow(&[leader]);
                // One that names itself has just been elected.
                if leader == address {
                    self.ask_one(leader);
                }
            }
            Frame::Relays(relays) => {
                if relays.is_empty() {
                    self.named_relays.remove(&address);
                } else {
                    self.named_relays.insert(address, relays);
                }
                self.follow_relays();
            }
            Frame::Taken { ticket } => self.reports.taken(ticket),
            Frame::InForce {
                asked,
                version,
                routers,
            } => {
                self.router.set_routers(routers);
                self.router
                    .lease
                    .borrow_mut()
                    .in_force(version, BootTime(asked));
                self.request_newer(address, version);
            }
            frame => self.told(frame),
        }
    }

    fn relay(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                info!(%address, "link to a relay is up");
                self.set_relay_up(address, true);
            }
            LinkEvent::Down(address, error) => {
                info!(%address, %error, "link to a relay is down");
                self.set_relay_up(address, false);
            }
            LinkEvent::Frame(_, frame) => self.told(frame),
        }
    }

    fn set_relay_up(&mut self, address: SocketAddr, up: bool) {
        if let Some(followed) = self.relays.get_mut(&address) {
            followed.up = up;
        }
    }

    /// Takes what control instances tell, and passes it on to followers.
    fn told(&mut self, frame: Frame) {
        match frame {
            Frame::Targets(announcements) => {
                let news = self.router.merge(announcements);
                if !news.is_empty() {
                    self.followers.tell_all(&Frame::Targets(news));
                }
            }
            Frame::Silent(silent) if self.router.silence(&silent) => {
                self.followers.tell_all(&Frame::Silent(silent));
            }
            Frame::CachedPrefixes(prefixes) => self.learn(None, prefixes),
            Frame::Totals(totals) => {
                self.followers
                    .tell_partners(None, &Frame::Totals(totals.clone()));
                let totals: BTreeMap<u64, u32> = totals.into_iter().collect();
                self.router
                    .dispatcher
                    .borrow_mut()
                    .totals(&totals, Instant::now());
            }
            Frame::Config(document) if adopt(&self.router, &document) => {
                self.followers.tell_all(&Frame::Config(document.clone()));
                self.document = Some(document);
            }
            _ => {}
        }
    }

    fn learn(&mut self, from: Option<LinkId>, prefixes: Vec<(u64, u64)>) {
        let places = prefixes
            .iter()
            .map(|&(shared, cache)| CachedPrefix { shared, cache });
        self.router
            .dispatcher
            .borrow_mut()
            .learn(places, Instant::now());
        self.followers
            .tell_partners(from, &Frame::CachedPrefixes(prefixes));
    }

    fn accepted(&mut self, event: AcceptEvent) {
        match event {
            AcceptEvent::Opened {
                link,
                hello,
                frames,
            } => {
                let state = self.state();
                self.followers.opened(link, hello, frames, state);
            }
            AcceptEvent::Received { link, frame } => match frame {
                Frame::Alive(number) => self.followers.tell(link, &Frame::Alive(number)),
                Frame::Loads(counts) => {
                    self.followers.told_loads(link, counts, Instant::now());
                }
                Frame::RequestConfig => {
                    if let Some(document) = &self.document {
                        self.followers.tell(link, &Frame::Config(document.clone()));
                    }
                }
                Frame::CachedPrefixes(prefixes) => {
                    self.prefixes.extend(prefixes.iter().copied());
                    self.learn(Some(link), prefixes);
                }
                _ => warn!(link, "a follower sent a frame that this side does not take"),
            },
            AcceptEvent::Ended { link } => self.followers.ended(link),
        }
    }

    /// What a follower starts from.
    fn state(&self) -> Vec<Frame> {
        let targets = self.router.registry.borrow().all().cloned().collect();
        let cached = self.router.dispatcher.borrow().cached(MAX_CACHED_PREFIXES);
        let cached = cached.into_iter().map(|news| (news.shared, news.cache));
        let mut state = vec![
            Frame::Targets(targets),
            Frame::CachedPrefixes(cached.collect()),
        ];
        state.extend(self.document.clone().map(Frame::Config));
        state
    }
}

/// Time between two questions what is in force. The questions of a large fleet
/// would take most of a leader's processor.
fn ask_period(routers: u32) -> Duration {
    (ASK_PERIOD_A_ROUTER * routers).clamp(ASK_PERIOD, MAX_ASK_PERIOD)
}

/// Takes a configuration if it is newer; returns whether it is.
fn adopt(router: &Router, document: &Document) -> bool {
    if document.version <= router.config_version() {
        return false;
    }
    let text = lz4_flex::decompress_size_prepended(&document.content);
    let catalog = text
        .map_err(|error| error.to_string())
        .and_then(|text| config::catalog(&text).map_err(|error| error.to_string()));
    match catalog {
        Ok(catalog) => {
            router.adopt(catalog);
            true
        }
        Err(error) => {
            error!(
                version = document.version,
                error, "a configuration is unreadable"
            );
            false
        }
    }
}
