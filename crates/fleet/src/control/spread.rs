//! Who is told of targets, and who takes their reports.
//!
//! With few targets and routers a control instance takes all reports and tells
//! every router of every target. That is routers times targets in bytes and calls,
//! so larger deployments work in two steps: a few routers of each data centre are
//! relays, which control instances tell and which tell the other routers, and
//! routers take the reports of the targets in their data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboospur_types::{mix64, stable_id};

use crate::link::{Hello, LinkId, RouterLocation};

/// Bounds of what control instances do themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// Announcements, summed over routers, that a control instance sends when it
    /// tells every router of every target; at 50 bytes each they take a link of
    /// 6 Mbit/s more than a second.
    pub direct_entries: usize,
    /// Relays of each data centre. Routers follow all of them, so that two can
    /// fail at once.
    pub relays: usize,
    /// Targets whose reports the control instances take themselves.
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

/// Decides who relays and who takes reports.
#[derive(Clone, Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    relays: BTreeMap<LinkId, RouterLocation>,
}

impl Fanout {
    /// Starts without relays.
    #[must_use]
    pub const fn new(settings: FanoutSettings) -> Self {
        Self {
            settings,
            relays: BTreeMap::new(),
        }
    }

    /// Whether relays tell the other routers.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        !self.relays.is_empty()
    }

    /// Links of relays.
    pub fn relay_links(&self) -> impl Iterator<Item = LinkId> {
        self.relays.keys().copied()
    }

    /// Data centres and addresses of relays.
    #[must_use]
    pub fn relays(&self) -> Vec<(String, SocketAddr)> {
        let relays = self.relays.values();
        relays
            .map(|place| (place.data_centre.clone(), place.links))
            .collect()
    }

    /// Chooses the relays anew; returns whether they changed.
    ///
    /// Control instances that have links to the same routers choose the same ones.
    pub fn select_relays<'a>(
        &mut self,
        routers: impl Iterator<Item = (LinkId, &'a Hello)>,
        targets: usize,
    ) -> bool {
        let routers: Vec<(LinkId, u64, &RouterLocation)> = routers
            .filter_map(|(link, hello)| Some((link, mix64(hello.id), hello.router()?)))
            .collect();
        // Without a gap the fleet would change to and fro at the bound.
        let most = if self.has_relays() {
            self.settings.direct_entries / 2
        } else {
            self.settings.direct_entries
        };
        let relays = if routers.len().saturating_mul(targets) > most {
            choose(routers, self.settings.relays)
        } else {
            BTreeMap::new()
        };
        let changed = relays != self.relays;
        self.relays = relays;
        changed
    }

    /// Returns where a target sends its later reports, if not to a control instance.
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
        let near = routers.filter(|h| h.router().is_some_and(|r| r.data_centre == data_centre));
        let chosen = near.max_by_key(|hello| mix64(target ^ mix64(hello.id)));
        chosen?.router().map(|place| place.reports)
    }
}

/// Returns the routers with the highest ranks of each data centre. Of two links of
/// one router the newer one counts.
fn choose(
    mut routers: Vec<(LinkId, u64, &RouterLocation)>,
    relays: usize,
) -> BTreeMap<LinkId, RouterLocation> {
    routers.sort_by_key(|&(link, rank, _)| std::cmp::Reverse((rank, link)));
    routers.dedup_by_key(|&mut (_, rank, _)| rank);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut chosen = BTreeMap::new();
    for (link, _, place) in routers {
        let count = counts.entry(&place.data_centre).or_default();
        if *count < relays {
            *count += 1;
            chosen.insert(link, place.clone());
        }
    }
    chosen
}
