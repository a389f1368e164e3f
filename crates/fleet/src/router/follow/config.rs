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
use crate::link::{BulkItem, BulkKind, Frame, LinkId, prefix_frames};
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
/// Size up to which a change is sent to all followers at once, instead of one after the
/// other to those that report their loads here.
const MAX_DIRECT_CONFIG_BYTES: usize = 4 * 1024;
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
            let frame = Frame::RequestConfig(self.config_history.version());
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
        let previous = self.config_history.version();
        if change.version() <= previous {
            return;
        }
        let Some(document) = self.config_history.document_after(change) else {
            self.record_known_version(change.version());
            return;
        };
        if !apply_config(&self.router, &document) {
            return;
        }
        self.config_history.push(document, Some(change));
        self.request_config_if_behind();
        self.publish_config(previous);
    }

    /// Sends the change from the version before to the followers.
    fn publish_config(&mut self, previous: DocumentVersion) {
        if self.followers.is_empty() {
            return;
        }
        for (link, held_version) in std::mem::take(&mut self.config_waiters) {
            self.queue_config(link, held_version);
        }
        match self.config_history.change_from(previous) {
            Some(change) if change.size_bytes() <= MAX_DIRECT_CONFIG_BYTES => {
                self.followers.send_to_all(&Frame::Config(change));
            }
            // Followers of a router that has just started ask for what they lack.
            Some(_) if previous > 0 => {
                for link in self.followers.load_reporters() {
                    self.queue_config(link, previous);
                }
            }
            _ => {}
        }
    }

    fn queue_config(&mut self, link: LinkId, held_version: DocumentVersion) {
        self.bulk.push(BulkItem {
            link,
            kind: BulkKind::Config,
            held_version,
        });
    }

    /// Sends a follower the change from the version that it holds, now or once there is
    /// one.
    pub(super) fn handle_config_request(&mut self, link: LinkId, held_version: DocumentVersion) {
        if held_version < self.config_history.version() {
            self.queue_config(link, held_version);
        } else {
            self.config_waiters.insert(link, held_version);
        }
    }

    /// Queues all targets for a follower, and the cached prompts if it needs them.
    pub(super) fn queue_state(&mut self, link: LinkId, with_prefixes: bool) {
        let prefixes = with_prefixes.then_some(BulkKind::CachedPrefixes);
        for kind in [Some(BulkKind::Targets), prefixes].into_iter().flatten() {
            self.bulk.push(BulkItem {
                link,
                kind,
                held_version: 0,
            });
        }
    }

    /// Sends the queued large frames that the bandwidth allows now.
    pub(super) fn send_bulk(&mut self, now: Instant) {
        while let Some(item) = self.bulk.take(now) {
            let frames = self.bulk_frames(item);
            let sizes = frames.iter().map(|f| self.followers.send(item.link, f));
            let bytes = sizes.sum();
            self.bulk.record_sent(bytes);
        }
    }

    fn bulk_frames(&mut self, item: BulkItem) -> Vec<Frame> {
        match item.kind {
            BulkKind::Config => {
                let change = self.config_history.change_from(item.held_version);
                change.map(Frame::Config).into_iter().collect()
            }
            BulkKind::Targets => {
                let registry = self.router.registry.borrow();
                vec![Frame::Targets(registry.all().cloned().collect())]
            }
            BulkKind::CachedPrefixes => {
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
