//! Frames that this router sends to control instances and relays.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{mix64, stable_id};
use tracing::info;

use super::{FollowedLink, Follower};
use crate::calls::TargetCall;
use crate::link::Frame;

/// Control instances to which a router reports crashes.
const CRASH_HUBS: usize = 2;

impl Follower {
    /// Sends the prompts cached since the last call, with the targets that hold
    /// them, to the other routers.
    pub(super) fn send_cached_prefixes(&mut self) {
        if self.upstream_link().is_none() {
            return;
        }
        let new = self.router.dispatcher.borrow_mut().take_new_prefixes();
        let own: Vec<_> = new
            .iter()
            .map(|new| (new.prefix_hash, new.cache_id))
            .collect();
        if !own.is_empty() {
            let frame = Frame::CachedPrefixes(own.clone());
            self.followers.send_to_load_reporters(None, &frame);
        }
        let mut prefixes = std::mem::take(&mut self.reported_prefixes);
        prefixes.extend(own);
        if let Some(upstream) = self.upstream_link().filter(|_| !prefixes.is_empty()) {
            // If the frame is lost, other routers may choose a target that has to
            // process the prompt again.
            let _sent = upstream.link.send(Frame::CachedPrefixes(prefixes));
        }
    }

    /// Returns the link for loads and cached prompts: that of the preferred relay, or
    /// else that of the preferred control instance.
    pub(super) fn upstream_link(&self) -> Option<&FollowedLink> {
        let relay = self.preferred_link(&self.relays);
        relay.or_else(|| self.preferred_link(&self.controls))
    }

    /// Returns the link with the highest rank among those that are up.
    pub(super) fn preferred_link<'a>(
        &self,
        links: &'a BTreeMap<SocketAddr, FollowedLink>,
    ) -> Option<&'a FollowedLink> {
        self.ranked(links).next().map(|(_, followed)| followed)
    }

    /// Returns the links that are up, those with the highest rank first. The rank depends on
    /// this router, so that routers spread over the addresses.
    pub(super) fn ranked<'a>(
        &self,
        links: &'a BTreeMap<SocketAddr, FollowedLink>,
    ) -> impl Iterator<Item = (&'a SocketAddr, &'a FollowedLink)> + use<'a> {
        let mut up: Vec<_> = links.iter().filter(|(_, followed)| followed.up).collect();
        up.sort_by_key(|&(&address, _)| Reverse(self.rank(address)));
        up.into_iter()
    }

    /// Returns the rank of an address among the relays or the control instances.
    pub(super) fn rank(&self, address: SocketAddr) -> u64 {
        mix64(self.hello.id ^ stable_id(&address.to_string()))
    }

    /// Sends the number of requests at each target, summed over this router and its
    /// followers.
    pub(super) fn send_loads(&mut self) {
        let Some(link) = self.upstream_link().map(|upstream| upstream.link.clone()) else {
            return;
        };
        let now = Instant::now();
        let own = self.router.dispatcher.borrow_mut().collect_own_loads(now);
        let sums = self.followers.sum_loads(self.hello.id, own, now);
        // Lost loads are replaced by the next report.
        let _sent = link.send(Frame::Loads(sums));
    }

    /// Sends the batch of unchanged target reports to a control instance.
    pub(super) fn send_refreshed_reports(&mut self) {
        let refreshed = self.reports.take_refreshed(Instant::now());
        if let Some(frame) = refreshed
            && let Some(control) = self.preferred_link(&self.controls)
        {
            // If the frame is lost, the next batch arrives before the targets count as
            // silent.
            let _sent = control.link.send(frame);
        }
    }

    /// Sends what was noticed of crashes to the first control instances in the order of their
    /// addresses, as far as its share of the bandwidth allows. Two decide, each for itself, so
    /// that the loss of one delays no decision.
    pub(super) fn send_crash_messages(&mut self) {
        let now = Instant::now();
        let linked = self.controls.iter().filter(|(_, control)| control.up);
        let hubs: Vec<SocketAddr> = linked
            .map(|(&address, _)| address)
            .take(CRASH_HUBS)
            .collect();
        if hubs.is_empty() {
            return;
        }
        if hubs != self.crash_hubs {
            self.crash_hubs.clone_from(&hubs);
            self.router.crashes.queue_state(now);
        }
        let routers = self.router.router_count();
        let crashes = &self.router.crashes;
        while let Some(message) = crashes.next_pending(hubs.len(), routers, now) {
            for control in hubs.iter().filter_map(|hub| self.controls.get(hub)) {
                // What an instance misses, later crashes and the other one make up for.
                let _sent = control.link.send(Frame::Crashes(message.clone()));
            }
        }
    }

    /// Tells a control instance, and through it the other routers, which targets said in
    /// answers that they leave.
    pub(super) fn report_leaving_targets(&self) {
        let leaving = self.router.take_leaving();
        if leaving.is_empty() {
            return;
        }
        let frame = Frame::Targets(leaving.clone());
        let control = self.preferred_link(&self.controls);
        if !control.is_some_and(|control| control.link.send(frame)) {
            self.router.put_back_leaving(leaving);
        }
    }

    /// Tells a control instance, and through it the other routers, which limits targets stated
    /// or stopped stating.
    pub(super) fn report_stated_limits(&self) {
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        let stated = dispatcher.take_stated_limits();
        if stated.is_empty() {
            return;
        }
        let frame = Frame::StatedLimits(stated.clone());
        let control = self.preferred_link(&self.controls);
        if !control.is_some_and(|control| control.link.send(frame)) {
            dispatcher.put_back_stated_limits(stated);
        }
    }

    /// Handles a call of a target. Without a link to a control instance the call is
    /// refused, and the target calls another instance.
    pub(super) fn handle_target_call(&mut self, call: TargetCall) {
        let preferred = self.ranked(&self.controls).next();
        let Some((control, link)) = preferred.map(|(&address, c)| (address, c.link.clone())) else {
            info!(
                "target call refused: no link to a control instance; the target calls another instance"
            );
            return;
        };
        if let Some(frame) = self.reports.handle_call(call, control, Instant::now()) {
            // If the frame is lost, the target gets no answer and calls again.
            let _sent = link.send(frame);
        }
    }
}
