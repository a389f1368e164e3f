//! What targets and routers tell, and what routers are told of it.

use std::time::Instant;

use bamboospur_registry::{Announcement, Merge, Phase};
use tracing::{error, info};

use super::{Host, MAX_CACHED_PREFIXES};
use crate::control::disk::Write;
use crate::control::event::LinkId;
use crate::control::soft::SoftState;
use crate::link::Frame;

impl Host {
    pub(super) fn exchange_loads(&mut self, now: Instant) {
        self.loads.drop_old(now);
        if !self.loads.has_routers() {
            return;
        }
        self.peers.send_to_all(&Frame::Loads(self.loads.own_sums()));
        let totals = Frame::Totals(self.loads.totals());
        let loads = &self.loads;
        let told = self
            .links
            .values()
            .filter(|link| loads.has_router(link.hello.id));
        for link in told {
            // A router that misses totals gets the next ones.
            let _sent = link.frames.try_send(totals.clone());
        }
    }

    pub(super) fn keep_soft_state(&mut self, now: Instant) {
        if !self.soft.take_due(now) {
            return;
        }
        let state = SoftState {
            targets: self.registry.all().cloned().collect(),
            prefixes: self.prefixes.iter().copied().collect(),
        };
        if let Some(blob) = state.encode()
            && self.writes.send(Write::Soft(blob)).is_err()
        {
            error!("the disk thread has ended");
        }
    }

    /// Tells routers of targets that went silent. An instance without a leader
    /// may be cut off from those that hear the targets, so it tells nothing.
    pub(super) fn find_silent(&mut self, now: Instant) {
        if self.group.leader().is_none() {
            return;
        }
        let silent: Vec<Announcement> = self.registry.silent(now).cloned().collect();
        let news = silent.iter().filter(|a| !self.silent.contains(&a.name));
        let news: Vec<Announcement> = news.cloned().collect();
        self.silent = silent.into_iter().map(|a| a.name).collect();
        if !news.is_empty() {
            let names: Vec<&str> = news.iter().map(|a| a.name.as_str()).collect();
            info!(?names, "targets are silent");
            self.send_to_routers(&Frame::Silent(news));
        }
    }

    /// Takes announcements. `direct` ones came from the targets themselves and
    /// are passed on to peers.
    pub(super) fn merge(&mut self, announcements: Vec<Announcement>, direct: bool, now: Instant) {
        let mut news = Vec::new();
        for announcement in announcements {
            let merge = self.registry.merge(announcement.clone(), now);
            if merge == Merge::Old {
                continue;
            }
            if direct {
                self.unsent
                    .insert(announcement.name.clone(), announcement.clone());
            }
            if merge == Merge::News {
                info!(
                    target_name = announcement.name,
                    start = announcement.start.0,
                    sequence = announcement.sequence,
                    phase = %announcement.phase,
                    service = announcement.service,
                    address = %announcement.address,
                    direct,
                    "target changed"
                );
                news.push(announcement);
            }
        }
        if direct && !news.is_empty() {
            self.peers.send_to_all(&Frame::Targets(news.clone()));
        }
        self.publish(news);
    }

    /// Tells routers of changed targets.
    pub(super) fn publish(&mut self, news: Vec<Announcement>) {
        if !news.is_empty() {
            for announcement in &news {
                self.silent.remove(&announcement.name);
                match announcement.phase {
                    Phase::Ready => self.soft.changed(),
                    Phase::Draining | Phase::Gone => self.soft.departed(),
                }
            }
            self.keep_soft_state(Instant::now());
            self.send_to_routers(&Frame::Targets(news));
        }
    }

    /// Passes on where prompts are cached, and keeps it for routers that start.
    pub(super) fn pass_on_prefixes(&mut self, from: LinkId, prefixes: Vec<(u64, u64)>) {
        self.prefixes.extend(prefixes.iter().copied());
        let excess = self.prefixes.len().saturating_sub(MAX_CACHED_PREFIXES);
        self.prefixes.drain(..excess);
        self.soft.changed();
        self.send_to_routers_but(Some(from), &Frame::CachedPrefixes(prefixes));
    }
}
