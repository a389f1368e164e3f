//! Handling of frames from control instances, relays and followers.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_dispatch::CachedPrefix;
use bamboospur_group::Document;
use bamboospur_platform::config;
use tracing::{error, warn};

use super::Follower;
use crate::link::{AcceptEvent, Frame, LinkId};
use crate::router::state::Router;

/// Most cached prompts that are sent to a new follower.
const MAX_INITIAL_CACHED_PREFIXES: usize = 4_096;

impl Follower {
    /// Applies a frame from a control instance or a relay, and forwards it to the
    /// followers.
    pub(super) fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Targets(announcements) => {
                let changed = self.router.merge_announcements(announcements);
                if !changed.is_empty() {
                    self.followers.send_to_all(&Frame::Targets(changed));
                }
            }
            Frame::Silent(silent) if self.router.mark_silent(&silent) => {
                self.followers.send_to_all(&Frame::Silent(silent));
            }
            Frame::CachedPrefixes(prefixes) => self.add_cached_prefixes(None, prefixes),
            Frame::Totals(totals) => {
                self.followers
                    .send_to_load_reporters(None, &Frame::Totals(totals.clone()));
                let totals: BTreeMap<u64, u32> = totals.into_iter().collect();
                self.router
                    .dispatcher
                    .borrow_mut()
                    .apply_load_totals(&totals, Instant::now());
            }
            Frame::Config(document) if apply_config(&self.router, &document) => {
                self.followers.send_to_all(&Frame::Config(document.clone()));
                self.document = Some(document);
            }
            _ => {}
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
            } => {
                let initial = self.initial_frames();
                self.followers.add(link, hello, frames, initial);
            }
            AcceptEvent::Received { link, frame } => match frame {
                Frame::Alive(number) => self.followers.send(link, &Frame::Alive(number)),
                Frame::Loads(counts) => {
                    self.followers.record_loads(link, counts, Instant::now());
                }
                Frame::RequestConfig => {
                    if let Some(document) = &self.document {
                        self.followers.send(link, &Frame::Config(document.clone()));
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
            AcceptEvent::Ended { link } => self.followers.remove(link),
        }
    }

    /// Returns the frames for a new follower: all targets, cached prompts and the
    /// configuration.
    fn initial_frames(&self) -> Vec<Frame> {
        let targets = self.router.registry.borrow().all().cloned().collect();
        let cached = self
            .router
            .dispatcher
            .borrow()
            .cached_prefixes(MAX_INITIAL_CACHED_PREFIXES);
        let cached = cached
            .into_iter()
            .map(|prefix| (prefix.prefix_hash, prefix.cache_id));
        let mut frames = vec![
            Frame::Targets(targets),
            Frame::CachedPrefixes(cached.collect()),
        ];
        frames.extend(self.document.clone().map(Frame::Config));
        frames
    }
}

/// Applies a configuration if it is newer and valid; returns whether it was applied.
fn apply_config(router: &Router, document: &Document) -> bool {
    if document.version <= router.config_version() {
        return false;
    }
    let text = lz4_flex::decompress_size_prepended(&document.content);
    let catalog = text
        .map_err(|error| error.to_string())
        .and_then(|text| config::parse_catalog(&text).map_err(|error| error.to_string()));
    match catalog {
        Ok(catalog) => {
            router.apply_config(catalog);
            true
        }
        Err(error) => {
            error!(
                version = document.version,
                error,
                "configuration rejected: its content is invalid; the previous one stays in force"
            );
            false
        }
    }
}
