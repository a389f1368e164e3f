//! Distribution of target updates to routers, and of target reports over routers.
//!
//! With few targets and routers, a control instance accepts all reports and sends the
//! updates of every target to every router. The cost in bytes and calls is routers
//! times targets, so larger deployments work in two steps: a few routers of each data
//! centre are relays, which receive updates from control instances and forward them to
//! the other routers, and routers accept the reports of the targets in their data
//! centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;

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
#[derive(Clone, Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    relays: BTreeMap<LinkId, RouterLocation>,
}

impl Fanout {
    /// Returns a state without relays.
    #[must_use]
    pub const fn new(settings: FanoutSettings) -> Self {
        Self {
            settings,
            relays: BTreeMap::new(),
        }
    }

    /// Whether updates go through relays.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        !self.relays.is_empty()
    }

    /// Returns the links of the relays.
    pub fn relay_links(&self) -> impl Iterator<Item = LinkId> {
        self.relays.keys().copied()
    }

    /// Returns the data centres and link addresses of the relays.
    #[must_use]
    pub fn relays(&self) -> Vec<(String, SocketAddr)> {
        let relays = self.relays.values();
        relays
            .map(|location| (location.data_centre.clone(), location.links))
            .collect()
    }

    /// Selects the relays for the current routers and number of targets; returns whether
    /// the relays changed.
    ///
    /// Control instances with links to the same routers select the same relays.
    pub fn select_relays<'a>(
        &mut self,
        routers: impl Iterator<Item = (LinkId, &'a Hello)>,
        targets: usize,
    ) -> bool {
        let routers: Vec<(LinkId, u64, &RouterLocation)> = routers
            .filter_map(|(link, hello)| Some((link, mix64(hello.id), hello.router_location()?)))
            .collect();
        // Hysteresis: with a single bound, a deployment near the bound would switch
        // between both modes again and again.
        let max_entries = if self.has_relays() {
            self.settings.direct_entries / 2
        } else {
            self.settings.direct_entries
        };
        let relays = if routers.len().saturating_mul(targets) > max_entries {
            select_highest_ranked(routers, self.settings.relays)
        } else {
            BTreeMap::new()
        };
        let changed = relays != self.relays;
        self.relays = relays;
        changed
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

/// Returns the `relays` routers of each data centre that have the highest ranks. If a
/// router has two links, the newer one is used.
fn select_highest_ranked(
    mut routers: Vec<(LinkId, u64, &RouterLocation)>,
    relays: usize,
) -> BTreeMap<LinkId, RouterLocation> {
    routers.sort_by_key(|&(link, rank, _)| std::cmp::Reverse((rank, link)));
    routers.dedup_by_key(|&mut (_, rank, _)| rank);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut selected = BTreeMap::new();
    for (link, _, location) in routers {
        let count = counts.entry(&location.data_centre).or_default();
        if *count < relays {
            *count += 1;
            selected.insert(link, location.clone());
        }
    }
    selected
}
