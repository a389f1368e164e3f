//! What this router tells control instances and relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{mix64, stable_id};
use tracing::info;

use super::{FollowedLink, Follower};
use crate::calls::TargetCall;
use crate::link::Frame;

impl Follower {
    /// Tells the other routers where prompts are cached.
    pub(super) fn send_news(&mut self) {
        if self.partner().is_none() {
            return;
        }
        let news = self.router.dispatcher.borrow_mut().take_new_prefixes();
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
    pub(super) fn partner(&self) -> Option<&FollowedLink> {
        let relay = self.first_choice(&self.relays);
        relay.or_else(|| self.first_choice(&self.controls))
    }

    pub(super) fn first_choice<'a>(
        &self,
        links: &'a BTreeMap<SocketAddr, FollowedLink>,
    ) -> Option<&'a FollowedLink> {
        let rank = |address: &SocketAddr| mix64(self.hello.id ^ stable_id(&address.to_string()));
        let up = links.iter().filter(|(_, followed)| followed.up);
        up.max_by_key(|(address, _)| rank(address))
            .map(|(_, followed)| followed)
    }

    pub(super) fn send_loads(&mut self) {
        let Some(link) = self.partner().map(|partner| partner.link.clone()) else {
            return;
        };
        let now = Instant::now();
        let own = self.router.dispatcher.borrow_mut().collect_own_loads(now);
        let sums = self.followers.sums(self.hello.id, own, now);
        // Lost loads are told again.
        let _sent = link.send(Frame::Loads(sums));
    }

    /// Tells a control instance which targets report here.
    pub(super) fn send_heard(&mut self) {
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
    pub(super) fn target_call(&mut self, call: TargetCall) {
        let Some(link) = self.first_choice(&self.controls).map(|c| c.link.clone()) else {
            info!("a report is refused without a control instance");
            return;
        };
        if let Some(frame) = self.reports.take(call, Instant::now()) {
            // Without an answer the target calls again.
            let _sent = link.send(frame);
        }
    }
}
