//! What this router is told, and passes on to its followers.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_dispatch::CachedPrefix;
use bamboospur_group::Document;
use bamboospur_platform::config;
use tracing::{error, warn};

use super::Follower;
use crate::link::{AcceptEvent, Frame, LinkId};
use crate::router::state::Router;

/// Places of cached prompts that a follower starts from.
const MAX_CACHED_PREFIXES: usize = 4_096;

impl Follower {
    /// Takes what control instances tell, and passes it on to followers.
    pub(super) fn told(&mut self, frame: Frame) {
        match frame {
            Frame::Targets(announcements) => {
                let news = self.router.merge(announcements);
                if !news.is_empty() {
                    self.followers.tell_all(&Frame::Targets(news));
                }
            }
            Frame::Silent(silent) if self.router.silence(&silent) => {
                self.followers.tell_all(&Frame::Silent(silent));
            }
            Frame::CachedPrefixes(prefixes) => self.learn(None, prefixes),
            Frame::Totals(totals) => {
                self.followers
                    .tell_partners(None, &Frame::Totals(totals.clone()));
                let totals: BTreeMap<u64, u32> = totals.into_iter().collect();
                self.router
                    .dispatcher
                    .borrow_mut()
                    .apply_load_totals(&totals, Instant::now());
            }
            Frame::Config(document) if adopt(&self.router, &document) => {
                self.followers.tell_all(&Frame::Config(document.clone()));
                self.document = Some(document);
            }
            _ => {}
        }
    }

    fn learn(&mut self, from: Option<LinkId>, prefixes: Vec<(u64, u64)>) {
        let places = prefixes
            .iter()
            .map(|&(shared, cache)| CachedPrefix { shared, cache });
        self.router
            .dispatcher
            .borrow_mut()
            .add_cached_prefixes(places, Instant::now());
        self.followers
            .tell_partners(from, &Frame::CachedPrefixes(prefixes));
    }

    pub(super) fn accepted(&mut self, event: AcceptEvent) {
        match event {
            AcceptEvent::Opened {
                link,
                hello,
                frames,
            } => {
                let state = self.state();
                self.followers.opened(link, hello, frames, state);
            }
            AcceptEvent::Received { link, frame } => match frame {
                Frame::Alive(number) => self.followers.tell(link, &Frame::Alive(number)),
                Frame::Loads(counts) => {
                    self.followers.told_loads(link, counts, Instant::now());
                }
                Frame::RequestConfig => {
                    if let Some(document) = &self.document {
                        self.followers.tell(link, &Frame::Config(document.clone()));
                    }
                }
                Frame::CachedPrefixes(prefixes) => {
                    self.prefixes.extend(prefixes.iter().copied());
                    self.learn(Some(link), prefixes);
                }
                _ => warn!(link, "a follower sent a frame that this side does not take"),
            },
            AcceptEvent::Ended { link } => self.followers.ended(link),
        }
    }

    /// What a follower starts from.
    fn state(&self) -> Vec<Frame> {
        let targets = self.router.registry.borrow().all().cloned().collect();
        let cached = self
            .router
            .dispatcher
            .borrow()
            .cached_prefixes(MAX_CACHED_PREFIXES);
        let cached = cached.into_iter().map(|news| (news.shared, news.cache));
        let mut state = vec![
            Frame::Targets(targets),
            Frame::CachedPrefixes(cached.collect()),
        ];
        state.extend(self.document.clone().map(Frame::Config));
        state
    }
}

/// Takes a configuration if it is newer; returns whether it is.
fn adopt(router: &Router, document: &Document) -> bool {
    if document.version <= router.config_version() {
        return false;
    }
    let text = lz4_flex::decompress_size_prepended(&document.content);
    let catalog = text
        .map_err(|error| error.to_string())
        .and_then(|text| config::parse_catalog(&text).map_err(|error| error.to_string()));
    match catalog {
        Ok(catalog) => {
            router.adopt(catalog);
            true
        }
        Err(error) => {
            error!(
                version = document.version,
                error, "a configuration is unreadable"
            );
            false
        }
    }
}
