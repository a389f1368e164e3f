//! Links to the control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_dispatch::CachedPrefix;
use bamboospur_group::Document;
use bamboospur_platform::config;
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_types::{mix64, stable_id};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;
use tokio::time::interval;
use tracing::{error, info};

use super::state::Router;
use crate::clock::BootTime;
use crate::link::{Dialed, Frame, Hello, LinkEvent, dial};

/// Events that wait; links wait for room.
const QUEUE_EVENTS: usize = 256;
/// Time between two questions what is in force. Several fit into a lease, so
/// that one lost answer or an election changes nothing.
const ASK_PERIOD: Duration = Duration::from_millis(800);
/// The same while the lease has not begun or has ended.
const ASK_PERIOD_WITHOUT_LEASE: Duration = Duration::from_millis(200);
/// An address that no control instance has named for this time is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time between two batches of news about cached prompts.
const NEWS_PERIOD: Duration = Duration::from_millis(100);
/// Time between two reports of the requests at targets.
const LOADS_PERIOD: Duration = Duration::from_millis(250);

enum Event {
    Link(LinkEvent),
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

/// Starts to follow the control instances.
pub fn start(router: Rc<Router>, settings: &ProcessSettings) -> Seeds {
    let (events, receiver) = channel(QUEUE_EVENTS);
    let mut follower = Follower {
        router,
        hello: Hello {
            id: stable_id(&settings.instance),
            address: None,
        },
        events: events.clone(),
        links: BTreeMap::new(),
    };
    follower.follow(&settings.seeds);
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
    events: Sender<Event>,
    links: BTreeMap<SocketAddr, FollowedLink>,
}

impl Follower {
    async fn run(mut self, mut events: Receiver<Event>) {
        let mut ask = interval(ASK_PERIOD_WITHOUT_LEASE);
        let mut asked_at = Instant::now();
        let mut news = interval(NEWS_PERIOD);
        let mut loads = interval(LOADS_PERIOD);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Link(event)) => self.link(event),
                    Some(Event::Seeds(seeds)) => self.follow(&seeds),
                    None => return,
                },
                _ = ask.tick() => {
                    let valid = self.router.lease.borrow().is_valid(BootTime::now());
                    if !valid || asked_at.elapsed() >= ASK_PERIOD {
                        asked_at = Instant::now();
                        self.ask();
                    }
                }
                _ = news.tick() => self.send_news(),
                _ = loads.tick() => self.send_loads(),
            }
        }
    }

    fn follow(&mut self, addresses: &[SocketAddr]) {
        let named_until = Instant::now() + FORGET_AFTER;
        for &address in addresses {
            let (hello, events) = (self.hello, &self.events);
            let followed = self.links.entry(address).or_insert_with(|| FollowedLink {
                link: dial(address, hello, events.clone(), Event::Link),
                up: false,
                named_until,
            });
            followed.named_until = named_until;
        }
    }

    fn ask(&mut self) {
        let now = Instant::now();
        if self.links.len() > 1 {
            self.links.retain(|_, followed| now < followed.named_until);
        }
        let asked = BootTime::now();
        for followed in self.links.values() {
            // A link that is down or full is asked again next time.
            let _sent = followed.link.send(Frame::Ask(asked.0));
        }
    }

    /// Tells the other routers, through one control instance, where prompts are
    /// cached.
    fn send_news(&mut self) {
        let Some(followed) = self.partner() else {
            return;
        };
        let news = self.router.dispatcher.borrow_mut().take_news();
        if !news.is_empty() {
            let prefixes = news
                .iter()
                .map(|prefix| (prefix.shared, prefix.cache))
                .collect();
            // Lost news costs other routers a read of the prompt.
            let _sent = followed.link.send(Frame::CachedPrefixes(prefixes));
        }
    }

    /// Returns the link over which this router tells and is told. Routers spread
    /// over the control instances.
    fn partner(&self) -> Option<&FollowedLink> {
        let rank = |address: &SocketAddr| mix64(self.hello.id ^ stable_id(&address.to_string()));
        let up = self.links.iter().filter(|(_, followed)| followed.up);
        up.max_by_key(|(address, _)| rank(address))
            .map(|(_, followed)| followed)
    }

    fn send_loads(&mut self) {
        if let Some(partner) = self.partner() {
            let loads = self.router.dispatcher.borrow_mut().tell_loads();
            // Lost loads are told again.
            let _sent = partner.link.send(Frame::Loads(loads));
        }
    }

    /// Asks for the configuration when a newer one than the one held is in force.
    fn request_newer(&self, address: SocketAddr, version: u64) {
        let held = self.router.config_version();
        if let Some(followed) = self.links.get(&address).filter(|_| version > held) {
            // It is asked for again with the next answer.
            let _sent = followed.link.send(Frame::RequestConfig);
        }
    }

    fn set_up(&mut self, address: SocketAddr, up: bool) {
        if let Some(followed) = self.links.get_mut(&address) {
            followed.up = up;
        }
    }

    fn link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                self.set_up(address, true);
                self.ask();
            }
            LinkEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
                self.set_up(address, false);
            }
            LinkEvent::Frame(address, frame) => {
                if let Some(followed) = self.links.get_mut(&address) {
                    followed.named_until = Instant::now() + FORGET_AFTER;
                }
                self.frame(address, frame);
            }
        }
    }

    fn frame(&mut self, address: SocketAddr, frame: Frame) {
        match frame {
            Frame::Controls(addresses) => self.follow(&addresses),
            Frame::Leader(address) => self.follow(&[address]),
            Frame::Targets(announcements) => self.router.merge(announcements),
            Frame::Silent(silent) => self.router.silence(&silent),
            Frame::CachedPrefixes(prefixes) => {
                let prefixes = prefixes
                    .into_iter()
                    .map(|(shared, cache)| CachedPrefix { shared, cache });
                let now = Instant::now();
                self.router.dispatcher.borrow_mut().learn(prefixes, now);
            }
            Frame::Totals(totals) => {
                let totals: BTreeMap<u64, u32> = totals.into_iter().collect();
                self.router
                    .dispatcher
                    .borrow_mut()
                    .totals(&totals, Instant::now());
            }
            Frame::Config(document) => adopt(&self.router, &document),
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
            Frame::Alive(_)
            | Frame::Loads(_)
            | Frame::RequestConfig
            | Frame::Hello(_)
            | Frame::Replica { .. }
            | Frame::Ask(_)
            | Frame::Put { .. }
            | Frame::PutDone { .. }
            | Frame::Get { .. }
            | Frame::GetDone { .. } => {}
        }
    }
}

fn adopt(router: &Router, document: &Document) {
    let held = router.config_version();
    if document.version <= held {
        return;
    }
    let text = lz4_flex::decompress_size_prepended(&document.content);
    let catalog = text
        .map_err(|error| error.to_string())
        .and_then(|text| config::catalog(&text).map_err(|error| error.to_string()));
    match catalog {
        Ok(catalog) => router.adopt(catalog),
        Err(error) => error!(
            version = document.version,
            error, "a configuration is unreadable"
        ),
    }
}
