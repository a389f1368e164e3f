//! Following the configuration, and passing it on to followers.
//!
//! A change arrives from the relay or control instance that this router sends its loads
//! to. A router that misses one hears of the version with the next answer about the
//! version in force, and requests the change from the version that it holds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_group::{Change, Document, DocumentVersion};
use bamboospur_platform::config;
use tracing::{error, info};

use super::{FollowedLink, Follower};
use crate::link::{Frame, prefix_frames};
use crate::outbox::Content;
use crate::router::state::Router;

/// A request is repeated at another peer when its peer has sent nothing for this time.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// A request is repeated at another peer after this time in any case. Relays send a whole
/// configuration to one follower after the other.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a router waits for a link to a relay before it asks a control instance.
/// After a restart of the whole fleet, control instances could not send the configuration
/// to every router.
const RELAY_WAIT: Duration = Duration::from_millis(1_200);
/// Most cached prompts that are sent to a follower that starts.
const MAX_INITIAL_CACHED_PREFIXES: usize = 8_192;

/// Request for a newer configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfigRequest {
    /// When the router heard that it lacks a version.
    behind_since: Instant,
    /// Peer that was asked, and when; `None` while the router waits for a relay.
    asked: Option<(SocketAddr, Instant)>,
}

impl Follower {
    /// Records that a version is in force, and requests it if the router lacks it.
    pub(super) fn record_known_version(&mut self, version: DocumentVersion) {
        self.known_version = self.known_version.max(version);
        self.request_config_if_behind();
    }

    /// Requests the configuration if the router lacks the newest known one and no request
    /// is in progress.
    pub(super) fn request_config_if_behind(&mut self) {
        let now = Instant::now();
        if self.known_version <= self.router.config_version() {
            self.config_request = None;
            return;
        }
        let request = self.config_request.unwrap_or(ConfigRequest {
            behind_since: now,
            asked: None,
        });
        let may_answer = |&(address, at): &(SocketAddr, Instant)| self.may_answer(address, at, now);
        if request.asked.as_ref().is_some_and(may_answer) {
            return;
        }
        let tried = request.asked.map(|(address, _)| address);
        let peer = self.config_peer(tried, now >= request.behind_since + RELAY_WAIT);
        let asked = peer.map(|(address, followed)| {
            let frame = Frame::RequestConfig(self.outbox.configs().version());
            // A lost request is repeated after a time-out.
            let _sent = followed.link.send(frame);
            info!(%address, version = self.known_version, "requesting a newer configuration");
            (address, now)
        });
        self.config_request = Some(ConfigRequest { asked, ..request });
    }

    /// Whether a peer that was asked at `asked_at` may still answer.
    fn may_answer(&self, address: SocketAddr, asked_at: Instant, now: Instant) -> bool {
        let followed = self.relays.get(&address);
        let Some(followed) = followed.or_else(|| self.controls.get(&address)) else {
            return false;
        };
        let active_at = followed.heard_at.map_or(asked_at, |at| at.max(asked_at));
        followed.up && now < active_at + PEER_SILENCE_TIMEOUT && now < asked_at + REQUEST_TIMEOUT
    }

    /// Returns the peer to ask for the configuration: a relay other than `tried`, or else a
    /// control instance, if there is no relay to wait for.
    fn config_peer(
        &self,
        tried: Option<SocketAddr>,
        relays_are_late: bool,
    ) -> Option<(SocketAddr, &FollowedLink)> {
        let relay = self.preferred_entry(&self.relays, tried);
        let waits = !self.relays.is_empty() && tried.is_none() && !relays_are_late;
        if relay.is_some() || waits {
            return relay;
        }
        let control = self.preferred_entry(&self.controls, tried);
        control.or_else(|| self.preferred_entry(&self.controls, None))
    }

    /// Applies a change of the configuration and passes it on.
    pub(super) fn handle_config(&mut self, change: &Change) {
        let previous = self.outbox.configs().version();
        if change.version() <= previous {
            return;
        }
        let Some(document) = self.outbox.configs().document_after(change) else {
            self.record_known_version(change.version());
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
                vec![Frame::Targets(registry.all().cloned().collect())]
            }
            Content::CachedPrefixes => {
                let dispatcher = self.router.dispatcher.borrow();
                let cached = dispatcher.cached_prefixes(MAX_INITIAL_CACHED_PREFIXES);
                prefix_frames(cached.iter().map(|p| (p.prefix_hash, p.cache_id)))
            }
        }
    }
}

/// Applies a configuration if it is newer and valid; returns whether it was applied.
fn apply_config(router: &Router, document: &Document) -> bool {
    if document.version <= router.config_version() {
        return false;
    }
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
