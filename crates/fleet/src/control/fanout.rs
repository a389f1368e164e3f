//! Distribution of target updates to routers, and of target reports over routers.
//!
//! With few targets and routers, a control instance accepts all reports and sends the
//! updates of every target to every router. The cost in bytes and calls is routers
//! times targets, so larger deployments work in two steps: a few routers of each data
//! centre are relays, which receive updates from control instances and forward them to
//! the other routers, and routers accept the reports of the targets in their data
//! centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_types::{mix64, stable_id};

use crate::link::{Hello, LinkId, RouterLocation};

/// Bounds beyond which control instances delegate work to routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// Routers times targets up to which a control instance sends the announcements of
    /// all targets to every router itself. At 50 bytes each, the default number takes
    /// more than a second on a link of 6 Mbit/s.
    pub direct_entries: usize,
    /// Number of relays in each data centre. Routers follow all of them, so two can fail
    /// at once with the default of three.
    pub relays: usize,
    /// Number of targets up to which control instances accept all reports themselves.
    pub own_targets: usize,
}

impl Default for FanoutSettings {
    fn default() -> Self {
        Self {
            direct_entries: 20_000,
            relays: 3,
            own_targets: 200,
        }
    }
}

/// Selects the relays, and the routers that accept reports.
///
/// The leader selects the relays, and the other instances adopt its selection. A relay
/// stays selected while it is linked: each change makes all routers of its data centre
/// dial another relay.
#[derive(Clone, Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    selected: BTreeMap<SocketAddr, Relay>,
    /// Links of the selected relays to this instance.
    links: BTreeSet<LinkId>,
}

/// A selected relay.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Relay {
    data_centre: String,
    /// When the relay loses its place unless its link is back.
    replaced_at: Option<Instant>,
}

impl Relay {
    fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            replaced_at: None,
        }
    }
}

/// A router, the link to it, and its rank among the routers of its data centre.
#[derive(Clone, Copy, Debug)]
struct LinkedRouter<'a> {
    link: LinkId,
    rank: u64,
    location: &'a RouterLocation,
}

/// Which relays a selection keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Those that are linked; used by the leader.
    KeepLinked,
    /// None; used before the first leader is known.
    ByRank,
}

/// Time in which a relay whose link ended can dial again before it is replaced. The other
/// relays of the data centre serve the routers meanwhile.
const RELAY_RETURN_TIME: Duration = Duration::from_millis(400);

impl Fanout {
    /// Returns a state without relays.
    #[must_use]
    pub const fn new(settings: FanoutSettings) -> Self {
        Self {
            settings,
            selected: BTreeMap::new(),
            links: BTreeSet::new(),
        }
    }

    /// Whether updates go through relays.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        !self.selected.is_empty()
    }

    /// Returns the links of the relays to this instance.
    pub fn relay_links(&self) -> impl Iterator<Item = LinkId> {
        self.links.iter().copied()
    }

    /// Whether a link is that of a relay.
    #[must_use]
    pub fn is_relay_link(&self, link: LinkId) -> bool {
        self.links.contains(&link)
    }

    /// Returns the data centres and link addresses of the relays.
    #[must_use]
    pub fn relays(&self) -> Vec<(String, SocketAddr)> {
        let relays = self.selected.iter();
        relays
            .map(|(&address, relay)| (relay.data_centre.clone(), address))
            .collect()
    }

    /// Returns the relays of one data centre.
    #[must_use]
    pub fn relays_of(&self, data_centre: &str) -> Vec<(String, SocketAddr)> {
        let mut relays = self.relays();
        relays.retain(|(relay_data_centre, _)| relay_data_centre == data_centre);
        relays
    }

    /// Selects the relays for the current routers and number of targets; returns whether
    /// the relays changed.
    ///
    /// Free places are filled by rank. The leader keeps linked relays, whatever their rank.
    /// Before the first leader, the selection goes by rank alone, so that instances with
    /// links to the same routers select the same relays, in whichever order they dialled.
    pub fn select_relays<'a>(
        &mut self,
        routers: impl Iterator<Item = (LinkId, &'a Hello)>,
        targets: usize,
        selection: Selection,
        now: Instant,
    ) -> bool {
        let routers = linked_routers(routers);
        let before = self.relays();
        // Hysteresis: with a single bound, a deployment near the bound would switch
        // between both modes again and again.
        let max_entries = if self.has_relays() {
            self.settings.direct_entries / 2
        } else {
            self.settings.direct_entries
        };
        if routers.len().saturating_mul(targets) > max_entries {
            match selection {
                Selection::KeepLinked => self.remove_lost(&routers, now),
                Selection::ByRank => self.selected.clear(),
            }
            self.fill_places(&routers);
        } else {
            self.selected.clear();
        }
        self.update_links(&routers);
        before != self.relays()
    }

    /// Adopts the selection of the leader; returns whether the relays changed.
    pub fn adopt_relays<'a>(
        &mut self,
        relays: &[(String, SocketAddr)],
        routers: impl Iterator<Item = (LinkId, &'a Hello)>,
    ) -> bool {
        let before = self.relays();
        self.selected = relays
            .iter()
            .map(|(data_centre, address)| (*address, Relay::new(data_centre)))
            .collect();
        let routers = linked_routers(routers);
        self.update_links(&routers);
        before != self.relays()
    }

    /// Removes relays that have not been linked for [`RELAY_RETURN_TIME`].
    fn remove_lost(&mut self, routers: &[LinkedRouter<'_>], now: Instant) {
        let linked: BTreeSet<SocketAddr> = routers.iter().map(|r| r.location.links).collect();
        self.selected.retain(|address, relay| {
            if linked.contains(address) {
                relay.replaced_at = None;
                return true;
            }
            now < *relay.replaced_at.get_or_insert(now + RELAY_RETURN_TIME)
        });
    }

    /// Selects the routers with the highest ranks for the free places of each data centre.
    fn fill_places(&mut self, routers: &[LinkedRouter<'_>]) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for relay in self.selected.values() {
            *counts.entry(relay.data_centre.clone()).or_default() += 1;
        }
        let mut ranked: Vec<_> = routers.iter().collect();
        ranked.sort_by_key(|router| std::cmp::Reverse(router.rank));
        for LinkedRouter { location, .. } in ranked {
            let count = counts.entry(location.data_centre.clone()).or_default();
            if *count < self.settings.relays && !self.selected.contains_key(&location.links) {
                *count += 1;
                let relay = Relay::new(&location.data_centre);
                self.selected.insert(location.links, relay);
            }
        }
    }

    /// Finds the links of the relays. If a relay has two links, the newer one is used.
    fn update_links(&mut self, routers: &[LinkedRouter<'_>]) {
        let mut links: BTreeMap<SocketAddr, LinkId> = BTreeMap::new();
        for &LinkedRouter { link, location, .. } in routers {
            if self.selected.contains_key(&location.links) {
                let newest = links.entry(location.links).or_insert(link);
                *newest = link.max(*newest);
            }
        }
        self.links = links.into_values().collect();
    }

    /// Returns the router address for the later reports of a target, or `None` if they go
    /// to a control instance. The choice is by rendezvous hashing.
    pub fn report_address<'a>(
        &self,
        routers: impl Iterator<Item = &'a Hello>,
        target: &str,
        data_centre: &str,
        targets: usize,
    ) -> Option<SocketAddr> {
        if targets <= self.settings.own_targets {
            return None;
        }
        let target = stable_id(target);
        let local_routers = routers.filter(|h| {
            h.router_location()
                .is_some_and(|location| location.data_centre == data_centre)
        });
        let chosen = local_routers.max_by_key(|hello| mix64(target ^ mix64(hello.id)));
        chosen?.router_location().map(|location| location.reports)
    }
}

/// Returns the routers among the peers of links.
fn linked_routers<'a>(links: impl Iterator<Item = (LinkId, &'a Hello)>) -> Vec<LinkedRouter<'a>> {
    let router = |(link, hello): (LinkId, &'a Hello)| {
        Some(LinkedRouter {
            link,
            rank: mix64(hello.id),
            location: hello.router_location()?,
        })
    };
    links.filter_map(router).collect()
}
