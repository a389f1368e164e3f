//! A target of a service, as one router knows it.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_placement::hash_node_id;
use bamboospur_registry::{Announcement, SoftwareVersion, StartTime};
use bamboospur_types::stable_id;

use crate::cache_map::CacheId;
use crate::cold::Cold;
use crate::health::{Health, Outcome};
use crate::load::Load;
use crate::pause::Pause;
use crate::request::target_start_id;
use crate::settings::DispatchSettings;

#[derive(Clone, Debug)]
pub struct Target {
    pub start: StartTime,
    pub address: SocketAddr,
    pub software: SoftwareVersion,
    pub is_local: bool,
    pub data_centre: String,
    pub slots: u32,
    /// Hash of the name, for rendezvous hashing.
    pub hash: u64,
    /// Identity of the cache, which starts empty with each start of the target.
    pub cache_id: CacheId,
    pub load: Load,
    /// Load of this router in the last report to other routers.
    pub last_reported: u32,
    pub health: Health,
    /// Pause for which the target asked.
    pub pause: Option<Pause>,
    /// State of a target that is or was cold.
    pub cold: Option<Cold>,
}

impl Target {
    pub fn new(announcement: &Announcement, is_local: bool, settings: &DispatchSettings) -> Self {
        Self {
            start: announcement.start,
            address: announcement.address,
            software: announcement.software.clone(),
            is_local,
            data_centre: announcement.data_centre.clone(),
            slots: announcement.slots,
            hash: hash_node_id(stable_id(&announcement.name)),
            cache_id: cache_id(announcement),
            load: Load::new(),
            last_reported: 0,
            health: Health::new(settings),
            pause: None,
            cold: None,
        }
    }

    /// Records how a request ended that was sent at this time, in case it was the trial of a
    /// paused target.
    pub fn end_trial(&mut self, outcome: Outcome, sent_at: Instant, now: Instant) {
        let Some(pause) = self.pause.as_mut().filter(|pause| pause.is_trial(sent_at)) else {
            return;
        };
        match outcome {
            Outcome::Answered { .. } => self.pause = None,
            Outcome::Full => {}
            Outcome::Unreachable | Outcome::Failed | Outcome::Neutral => {
                pause.record_lost_trial(now);
            }
        }
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| cold.is_cold(now))
    }
}

/// Returns the identity of the cache of one start of a target.
pub fn cache_id(announcement: &Announcement) -> CacheId {
    target_start_id(&announcement.name, announcement.start)
}

/// Returns the number of prompts that may be at a target at once; infinite if the target
/// reports no slots.
pub fn prompt_capacity(target: &Target, settings: &DispatchSettings) -> f64 {
    let slots = f64::from(target.slots);
    if slots < 1.0 {
        f64::INFINITY
    } else {
        (slots * settings.slots_factor).max(1.0)
    }
}
