//! Handling of frames from control instances, relays and followers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_dispatch::CachedPrefix;
use bamboospur_registry::Announcement;
use tracing::warn;

use super::Follower;
use crate::link::{AcceptEvent, Frame, LinkId};

impl Follower {
    /// Applies a frame from a control instance or a relay, and forwards it to the
    /// followers.
    pub(super) fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Targets(announcements) => self.merge_targets(announcements),
            Frame::Silent(silent) if self.router.mark_silent(&silent) => {
                self.followers.send_to_all(&Frame::Silent(silent));
            }
            Frame::CachedPrefixes(prefixes) => {
                self.add_cached_prefixes(None, prefixes);
                // Those of the asked peer follow its list of targets.
                if !self.state_request.lacks_prefixes() {
                    self.router.record_prefixes();
                }
            }
            Frame::Totals(totals) => {
                self.followers
                    .send_to_load_reporters(None, &Frame::Totals(totals.clone()));
                let totals: BTreeMap<u64, u32> = totals.into_iter().collect();
                self.router
                    .dispatcher
                    .borrow_mut()
                    .apply_load_totals(&totals, Instant::now());
            }
            Frame::LimitShares(shares) => {
                let mut dispatcher = self.router.dispatcher.borrow_mut();
                dispatcher.apply_limit_shares(&shares, self.hello.id, Instant::now());
                drop(dispatcher);
                // A follower that misses a frame gets the next one.
                self.followers.try_send_to_all(&Frame::LimitShares(shares));
            }
            Frame::Config(change) => self.handle_config(&change),
            Frame::Crashes(message) => self.router.crashes.handle(&message, Instant::now()),
            _ => {}
        }
    }

    /// Handles the list of all targets of a peer.
    pub(super) fn handle_all_targets(&mut self, from: SocketAddr, targets: Vec<Announcement>) {
        self.state_request.record_complete(from);
        self.merge_targets(targets);
        self.router.apply_pending_targets();
        self.router.record_targets();
    }

    /// Merges announcements of targets and forwards those that changed something.
    fn merge_targets(&mut self, announcements: Vec<Announcement>) {
        let changed = self.router.merge_announcements(announcements);
        if !changed.is_empty() {
            self.followers.send_to_all(&Frame::Targets(changed));
        }
    }

    /// Records cached prompts and forwards them to all followers that report their
    /// loads here, except to `from`.
    fn add_cached_prefixes(&mut self, from: Option<LinkId>, prefixes: Vec<(u64, u64)>) {
        let cached = prefixes.iter().map(|&(shared, cache)| CachedPrefix {
            prefix_hash: shared,
            cache_id: cache,
        });
        self.router
            .dispatcher
            .borrow_mut()
            .add_cached_prefixes(cached, Instant::now());
        self.followers
            .send_to_load_reporters(from, &Frame::CachedPrefixes(prefixes));
    }

    pub(super) fn handle_accept_event(&mut self, event: AcceptEvent) {
        match event {
            AcceptEvent::Opened {
                link,
                hello,
                frames,
            } => self.followers.add(link, hello, frames),
            AcceptEvent::Received { link, frame } => match frame {
                Frame::Alive(number) => {
                    // The follower dials again if it gets no answers.
                    self.followers.send(link, &Frame::Alive(number));
                }
                Frame::Loads(counts) => {
                    self.followers.record_loads(link, counts, Instant::now());
                }
                Frame::RequestConfig(held) => {
                    if !self.outbox.request_config(link, held) {
                        self.followers.send(link, &Frame::NoNewerConfig);
                    }
                }
                Frame::RequestTargets { with_prefixes, .. } => {
                    self.outbox.request_state(link, with_prefixes);
                    let shares = self.router.dispatcher.borrow().limit_shares();
                    if !shares.is_empty() {
                        self.followers.send(link, &Frame::LimitShares(shares));
                    }
                }
                Frame::CachedPrefixes(prefixes) => {
                    self.reported_prefixes.extend(prefixes.iter().copied());
                    self.add_cached_prefixes(Some(link), prefixes);
                }
                _ => warn!(
                    link,
                    "frame of a follower ignored: routers do not accept frames of this kind"
                ),
            },
            AcceptEvent::Ended { link } => {
                self.followers.remove(link);
                self.outbox.remove(link);
            }
        }
    }
}
