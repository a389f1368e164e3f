//! Following the configuration, and passing it on to followers.
//!
//! A change arrives from the relay or control instance that this router sends its loads
//! to. A router that misses one hears of the version with the next answer about the
//! version in force, and requests the change from the version that it holds;
//! [`crate::router::ConfigRequests`] decides from whom.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_dispatch::{CachedPrefix, Dispatcher};
use bamboospur_group::{Change, Document, DocumentVersion};
use bamboospur_platform::config;
use tracing::{error, info};

use super::{FollowedLink, Follower};
use crate::link::{Frame, prefix_frames, queued_link_bytes};
use crate::outbox::Content;
use crate::router::config_requests::{Peer, Peers};
use crate::router::state::Router;

/// Most cached prompts that are sent to a follower that starts.
const MAX_INITIAL_CACHED_PREFIXES: usize = 8_192;

impl Follower {
    fn prefix_frames(
        &self,
        select: impl Fn(&Dispatcher, usize) -> Vec<CachedPrefix>,
    ) -> Vec<Frame> {
        let selected = select(
            &self.router.dispatcher.borrow(),
            MAX_INITIAL_CACHED_PREFIXES,
        );
        let entries = selected.iter().map(|p| (p.prefix_hash, p.cache_id));
        prefix_frames(entries.collect())
    }

    /// Records that a version is in force, and requests it if the router lacks it.
    /// `stated_by` is the control instance that said so.
    pub(super) fn record_known_version(
        &mut self,
        version: DocumentVersion,
        stated_by: Option<SocketAddr>,
    ) {
        self.config_requests.record_known(version, stated_by);
        self.request_config_if_behind();
    }

    /// Asks another peer after one had no newer configuration.
    pub(super) fn handle_no_newer_config(&mut self, address: SocketAddr) {
        self.config_requests.record_lacking(address);
        self.request_config_if_behind();
    }

    /// Requests the configuration if the router lacks the newest known one and no request
    /// is in progress.
    pub(super) fn request_config_if_behind(&mut self) {
        let held = self.outbox.configs().version();
        for address in self.config_requests.take_unneeded(held) {
            if let Some(followed) = self.followed_link(address) {
                // If the frame is lost, the peer sends what was asked for before.
                let _sent = followed.link.send(Frame::RequestConfig(held));
            }
        }
        if self.config_requests.known_version() <= held {
            return;
        }
        let peers = Peers {
            relays: self.peers(&self.relays),
            controls: self.peers(&self.controls),
        };
        let Some(address) = self.config_requests.next_peer(held, &peers, Instant::now()) else {
            return;
        };
        let version = self.config_requests.known_version();
        info!(%address, version, held, "requesting a newer configuration");
        if let Some(followed) = self.followed_link(address) {
            // A lost request is repeated after a time-out.
            let _sent = followed.link.send(Frame::RequestConfig(held));
        }
    }

    /// Returns the link to a relay or control instance.
    fn followed_link(&self, address: SocketAddr) -> Option<&FollowedLink> {
        let relay = self.relays.get(&address);
        relay.or_else(|| self.controls.get(&address))
    }

    /// Returns the peers of these links, the preferred one first.
    fn peers(&self, links: &BTreeMap<SocketAddr, FollowedLink>) -> Vec<Peer> {
        let peer = |(&address, followed): (&SocketAddr, &FollowedLink)| Peer {
            address,
            up: followed.up,
            heard_at: followed.heard_at,
        };
        let mut peers: Vec<Peer> = links.iter().map(peer).collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(self.rank(peer.address)));
        peers
    }

    /// Applies a change of the configuration and passes it on.
    pub(super) fn handle_config(&mut self, change: &Change) {
        if change.version() <= self.outbox.configs().version() {
            return;
        }
        let Some(document) = self.outbox.configs().document_after(change) else {
            self.record_known_version(change.version(), None);
            return;
        };
        if !apply_config(&self.router, &document) {
            return;
        }
        if self.followers.is_empty() {
            self.outbox.add(document, Some(change));
        } else {
            self.publish_config(document, change);
        }
        self.request_config_if_behind();
    }

    /// Sends the change from the version before to the followers: a small one to all, a
    /// large one to those that report their loads here. Followers of a router that had no
    /// configuration ask for what they lack.
    fn publish_config(&mut self, document: Document, change: &Change) {
        let is_first = self.outbox.configs().version() == 0;
        let links = if is_first {
            Vec::new()
        } else {
            self.followers.load_reporters()
        };
        if let Some(change) = self.outbox.publish(document, Some(change), &links) {
            self.followers.send_to_all(&Frame::Config(change));
        }
    }

    /// Sends what the network link has room for now. A follower that misses something
    /// because its link ended or is full asks again.
    pub(super) fn send_outbox(&mut self, now: Instant) {
        self.outbox.record_link_bytes(queued_link_bytes(), now);
        while let Some((link, content)) = self.outbox.take(now) {
            let frames = self.frames(content);
            let sizes = frames.iter().map(|f| self.followers.send(link, f));
            let bytes = sizes.sum();
            self.outbox.record_sent(bytes);
        }
    }

    fn frames(&self, content: Content) -> Vec<Frame> {
        match content {
            Content::Config(change) => vec![Frame::Config(change)],
            Content::Targets => {
                let registry = self.router.registry.borrow();
                vec![Frame::AllTargets(registry.all(Instant::now()).collect())]
            }
            Content::NewestPrefixes => self.prefix_frames(Dispatcher::newest_prefixes),
            Content::OtherPrefixes => self.prefix_frames(Dispatcher::other_prefixes),
        }
    }
}

/// Applies a newer configuration if it is valid; returns whether it was applied.
fn apply_config(router: &Router, document: &Document) -> bool {
    match config::parse_catalog(document.text()) {
        Ok(catalog) => {
            router.apply_config(catalog);
            true
        }
        Err(error) => {
            error!(
                version = document.version,
                %error,
                "configuration rejected: its content is invalid; the previous one stays in force"
            );
            false
        }
    }
}
