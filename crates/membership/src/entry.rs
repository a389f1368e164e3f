//! One member as this instance knows it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TargetId, TargetRecord, mix64};

use crate::message::RecordEntry;
use crate::record::{
    InstanceRecord, Load, MemberKey, MemberRecord, MemberState, Sequence, Version,
};
use crate::settings::MembershipSettings;
use crate::view::TargetView;

/// Buckets of the digest.
pub(crate) const BUCKETS: usize = 64;

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: Version,
    /// Facts of the version's incarnation; final records may have none.
    pub(crate) details: Option<MemberRecord>,
    pub(crate) state_at: Instant,
    pub(crate) load: Load,
    pub(crate) load_sequence: Sequence,
    pub(crate) load_at: Instant,
    flaps: u32,
    flap_at: Instant,
    damped_until: Option<Instant>,
}

impl Entry {
    pub(crate) const fn new(version: Version, details: Option<MemberRecord>, now: Instant) -> Self {
        Self {
            version,
            details,
            state_at: now,
            load: Load {
                tokens: 0,
                requests: 0,
            },
            load_sequence: 0,
            load_at: now,
            flaps: 0,
            flap_at: now,
            damped_until: None,
        }
    }

    pub(crate) fn target(&self) -> Option<&Arc<TargetRecord>> {
        match &self.details {
            Some(MemberRecord::Target(record)) => Some(record),
            _ => None,
        }
    }

    pub(crate) fn instance(&self) -> Option<&Arc<InstanceRecord>> {
        match &self.details {
            Some(MemberRecord::Instance(record)) => Some(record),
            _ => None,
        }
    }

    /// Returns the whole record, unless it is final.
    pub(crate) fn full(&self) -> Option<RecordEntry> {
        if self.version.state.is_final() {
            return None;
        }
        let details = self.details.clone()?;
        Some(RecordEntry {
            version: self.version,
            details,
        })
    }

    /// Replaces the version, and counts a flap when a target returns to service
    /// after an outage or restarts without having left.
    pub(crate) fn replace(
        &mut self,
        version: Version,
        details: Option<MemberRecord>,
        settings: &MembershipSettings,
        now: Instant,
    ) {
        let old = self.version;
        let outage = now.saturating_duration_since(self.state_at);
        let returned = match old.state {
            MemberState::Suspect => outage >= settings.min_outage,
            MemberState::Dead => true,
            MemberState::Ready => version.incarnation > old.incarnation,
            MemberState::Draining | MemberState::Left => false,
        };
        if version.incarnation > old.incarnation {
            self.load_sequence = 0;
        }
        if old.state != version.state || version.incarnation > old.incarnation {
            self.state_at = now;
        }
        self.version = version;
        if details.is_some() {
            self.details = details;
        }
        if returned && version.state == MemberState::Ready {
            self.count_flap(settings, now);
        }
    }

    fn count_flap(&mut self, settings: &MembershipSettings, now: Instant) {
        self.flaps = self.decayed_flaps(settings, now) + 1;
        self.flap_at = now;
        let factor = 1_u32.checked_shl(self.flaps - 1).unwrap_or(u32::MAX);
        let quiet = settings.initial_damping.saturating_mul(factor);
        self.damped_until = Some(now + quiet.min(settings.max_damping));
    }

    fn decayed_flaps(&self, settings: &MembershipSettings, now: Instant) -> u32 {
        let quiet = now.saturating_duration_since(self.flap_at).as_millis();
        let decay = settings.damping_decay.as_millis().max(1);
        let forgotten = u32::try_from(quiet / decay).unwrap_or(u32::MAX);
        self.flaps.saturating_sub(forgotten).min(30)
    }

    pub(crate) fn is_damped(&self, now: Instant) -> bool {
        self.damped_until.is_some_and(|until| now < until)
    }

    /// Ends the damping when its time has come; returns whether it just ended.
    pub(crate) fn end_damping(&mut self, now: Instant) -> bool {
        let ended = self.damped_until.is_some_and(|until| now >= until);
        if ended {
            self.damped_until = None;
        }
        ended
    }

    pub(crate) fn is_expired(&self, tombstone: Duration, now: Instant) -> bool {
        self.version.state.is_final() && now.saturating_duration_since(self.state_at) > tombstone
    }

    pub(crate) fn view(&self, id: TargetId, now: Instant) -> Option<TargetView> {
        let record = Arc::clone(self.target()?);
        Some(TargetView {
            id,
            record,
            state: self.version.state,
            load: self.load,
            load_updated_at: self.load_at,
            takes_work: self.version.state == MemberState::Ready && !self.is_damped(now),
        })
    }

    /// Hash of what must be equal on all instances; loads and the sequence
    /// numbers that rise with each heartbeat are left out.
    pub(crate) const fn hash(&self, key: MemberKey) -> u32 {
        let state = self.version.state as u64;
        let mixed = mix64(key_hash(key) ^ mix64(self.version.incarnation ^ (state << 56)));
        (mixed >> 32) as u32
    }
}

pub(crate) const fn key_hash(key: MemberKey) -> u64 {
    match key {
        MemberKey::Target(id) => mix64(id),
        MemberKey::Instance(id) => mix64(!id),
    }
}

pub(crate) fn bucket_of(key: MemberKey) -> usize {
    usize::try_from(key_hash(key) % 64).unwrap_or(0) % BUCKETS
}

/// Low 32 bits of an id.
pub(crate) const fn short_id(id: TargetId) -> u32 {
    (id & 0xffff_ffff) as u32
}

/// Score of a router for a key; the routers with the highest scores have it.
pub(crate) const fn rendezvous(key: u64, router: InstanceId) -> u64 {
    mix64(key ^ mix64(router))
}
