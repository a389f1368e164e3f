//! What targets and routers tell, and what routers are told of it.

use std::time::Instant;

use bamboospur_registry::{Announcement, Merge, Phase, StartTime, TargetName};
use tracing::{error, info};

use super::{Host, MAX_CACHED_PREFIXES, UPDATE_BATCH_INTERVAL};
use crate::calls::{TargetCall, TargetUpdate};
use crate::control::disk::Write;
use crate::control::soft::SoftState;
use crate::link::{Frame, LinkId};

/// Departures, times routers, that are also sent to every router when relays pass
/// news on: a router whose relays all froze hears of a few departures at once.
const DEPARTURE_ENTRIES: usize = 600;

impl Host {
    /// Takes the call of a target and tells it where to report next.
    pub(super) fn target_call(&mut self, call: TargetCall, now: Instant) {
        let next = match call.update {
            TargetUpdate::Report(announcement) => {
                self.counters.reports += 1;
                let next = self.reports_to(&announcement);
                self.merge(vec![announcement], true, now);
                next
            }
            TargetUpdate::Leave { name, start } => {
                self.leave(&name, start, now);
                None
            }
        };
        // The target may have given up waiting.
        let _told = call.reply.send(next);
    }

    fn reports_to(&self, announcement: &Announcement) -> Option<std::net::SocketAddr> {
        if announcement.phase != Phase::Ready {
            return None;
        }
        let routers = self.links.routers().map(|(_, hello)| hello);
        let (name, data_centre) = (&announcement.name, &announcement.data_centre);
        self.spread
            .report_address(routers, name, data_centre, self.registry.len())
    }

    pub(super) fn leave(&mut self, name: &str, start: Option<StartTime>, now: Instant) {
        if let Some(gone) = self.registry.leave(name, start, now) {
            self.unsent.insert(name.to_owned(), gone.clone());
            self.publish(vec![gone], now);
        }
    }

    /// Takes word of targets that report to routers. `direct` ones came from the
    /// routers themselves and are passed on to peers.
    pub(super) fn take_heard(
        &mut self,
        targets: Vec<(TargetName, StartTime, u64)>,
        direct: bool,
        now: Instant,
    ) {
        let mut back = Vec::new();
        for (name, start, sequence) in targets {
            let merge = self.registry.refresh(&name, start, sequence, now);
            if merge == Merge::Stale {
                continue;
            }
            if merge == Merge::Changed {
                info!(target_name = name, "a silent target is back");
                back.extend(self.registry.get(&name).cloned());
            }
            if direct {
                self.heard.insert(name, (start, sequence));
            }
        }
        self.publish(back, now);
    }

    /// Returns the number of targets in the totals.
    pub(super) fn exchange_loads(&mut self, now: Instant) -> usize {
        self.loads.remove_expired(now);
        if !self.loads.has_routers() {
            return 0;
        }
        self.peers
            .send_to_all(&Frame::Loads(self.loads.local_totals()));
        let totals = self.loads.totals();
        let entries = totals.len();
        // A router that misses totals gets the next ones.
        self.links
            .try_send(&self.telling_links(), &Frame::Totals(totals));
        entries
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
            self.send_down(None, &Frame::Silent(news));
        }
    }

    /// Takes announcements. `direct` ones came from the targets themselves and
    /// are passed on to peers.
    pub(super) fn merge(&mut self, announcements: Vec<Announcement>, direct: bool, now: Instant) {
        let mut news = Vec::new();
        for announcement in announcements {
            let merge = self.registry.merge(announcement.clone(), now);
            if merge == Merge::Stale {
                continue;
            }
            if direct {
                self.unsent
                    .insert(announcement.name.clone(), announcement.clone());
            }
            if merge == Merge::Changed {
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
        self.publish(news, now);
    }

    /// Tells routers of changed targets, now or with the next batch.
    fn publish(&mut self, news: Vec<Announcement>, now: Instant) {
        if news.is_empty() {
            return;
        }
        for announcement in &news {
            self.silent.remove(&announcement.name);
            match announcement.phase {
                Phase::Ready => self.soft.record_change(),
                Phase::Draining | Phase::Gone => self.soft.record_departure(),
            }
        }
        self.keep_soft_state(now);
        self.news.extend(news);
        if now >= self.news_at {
            self.tell_news(now);
        }
    }

    /// Sends the waiting news to routers, and what came from targets to peers.
    pub(super) fn tell_news(&mut self, now: Instant) {
        if self.news.is_empty() {
            return;
        }
        self.news_at = now + UPDATE_BATCH_INTERVAL;
        if !self.spread.has_relays() {
            self.plan_relays();
        }
        let news = std::mem::take(&mut self.news);
        let own = news.iter().filter(|a| self.unsent.contains_key(&a.name));
        let own: Vec<Announcement> = own.cloned().collect();
        if !own.is_empty() {
            self.peers.send_to_all(&Frame::Targets(own));
        }
        let departed = news.iter().filter(|a| a.phase != Phase::Ready);
        let departed: Vec<Announcement> = departed.cloned().collect();
        self.send_down(None, &Frame::Targets(news));
        let entries = departed.len().saturating_mul(self.links.routers().count());
        let few = (1..=DEPARTURE_ENTRIES).contains(&entries);
        if self.spread.has_relays() && few {
            self.send_to_routers(&Frame::Targets(departed));
        }
    }

    /// Passes on where prompts are cached, and keeps it for routers that start.
    pub(super) fn pass_on_prefixes(&mut self, from: LinkId, prefixes: Vec<(u64, u64)>) {
        self.prefixes.extend(prefixes.iter().copied());
        let excess = self.prefixes.len().saturating_sub(MAX_CACHED_PREFIXES);
        self.prefixes.drain(..excess);
        self.soft.record_change();
        self.send_down(Some(from), &Frame::CachedPrefixes(prefixes));
    }
}
