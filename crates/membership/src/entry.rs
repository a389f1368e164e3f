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

/// Number of buckets in a digest.
pub(crate) const DIGEST_BUCKETS: usize = 64;

/// The newest known record of a member, with its load and flap history.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: Version,
    /// Details of the version's incarnation; dead and departed members may have
    /// none.
    pub(crate) details: Option<MemberRecord>,
    /// When the state or the incarnation last changed.
    pub(crate) state_since: Instant,
    pub(crate) load: Load,
    /// Sequence number of the heartbeat that reported the load; 0 if none has in this
    /// incarnation.
    pub(crate) load_sequence: Sequence,
    pub(crate) load_updated_at: Instant,
    /// Flaps counted up to `last_flap_at`, less those that had decayed by then.
    flaps: u32,
    last_flap_at: Instant,
    damped_until: Option<Instant>,
}

impl Entry {
    pub(crate) const fn new(version: Version, details: Option<MemberRecord>, now: Instant) -> Self {
        Self {
            version,
            details,
            state_since: now,
            load: Load {
                tokens: 0,
                requests: 0,
            },
            load_sequence: 0,
            load_updated_at: now,
            flaps: 0,
            last_flap_at: now,
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

    /// Returns the record with its details, or none if the member is dead or has
    /// left.
    pub(crate) fn full_record(&self) -> Option<RecordEntry> {
        if self.version.state.is_final() {
            return None;
        }
        let details = self.details.clone()?;
        Some(RecordEntry {
            version: self.version,
            details,
        })
    }

    /// Replaces the version. A target that returns to service after an outage, or
    /// restarts without having left, counts as a flap.
    pub(crate) fn replace(
        &mut self,
        version: Version,
        details: Option<MemberRecord>,
        settings: &MembershipSettings,
        now: Instant,
    ) {
        let old = self.version;
        let outage = now.saturating_duration_since(self.state_since);
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
            self.state_since = now;
        }
        self.version = version;
        if details.is_some() {
            self.details = details;
        }
        if returned && version.state == MemberState::Ready {
            self.record_flap(settings, now);
        }
    }

    fn record_flap(&mut self, settings: &MembershipSettings, now: Instant) {
        self.flaps = self.decayed_flaps(settings, now) + 1;
        self.last_flap_at = now;
        let factor = 1_u32.checked_shl(self.flaps - 1).unwrap_or(u32::MAX);
        let damping = settings.initial_damping.saturating_mul(factor);
        self.damped_until = Some(now + damping.min(settings.max_damping));
    }

    fn decayed_flaps(&self, settings: &MembershipSettings, now: Instant) -> u32 {
        let since_flap = now.saturating_duration_since(self.last_flap_at).as_millis();
        let decay = settings.damping_decay.as_millis().max(1);
        let decayed = u32::try_from(since_flap / decay).unwrap_or(u32::MAX);
        // At most 30, so that the factor of the damping period fits 32 bits.
        self.flaps.saturating_sub(decayed).min(30)
    }

    pub(crate) fn is_damped(&self, now: Instant) -> bool {
        self.damped_until.is_some_and(|until| now < until)
    }

    /// Ends the damping period if it is over; returns whether it ended now.
    pub(crate) fn end_damping(&mut self, now: Instant) -> bool {
        let ended = self.damped_until.is_some_and(|until| now >= until);
        if ended {
            self.damped_until = None;
        }
        ended
    }

    pub(crate) fn is_expired(&self, retention: Duration, now: Instant) -> bool {
        self.version.state.is_final() && now.saturating_duration_since(self.state_since) > retention
    }

    pub(crate) fn view(&self, id: TargetId, now: Instant) -> Option<TargetView> {
        let record = Arc::clone(self.target()?);
        Some(TargetView {
            id,
            record,
            state: self.version.state,
            load: self.load,
            load_updated_at: self.load_updated_at,
            takes_work: self.version.state == MemberState::Ready && !self.is_damped(now),
        })
    }

    /// Returns the hash of the fields that must be equal on all instances. Loads
    /// and sequence numbers are left out, because they change with each heartbeat.
    pub(crate) const fn digest_hash(&self, key: MemberKey) -> u32 {
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
    usize::try_from(key_hash(key) % 64).unwrap_or(0) % DIGEST_BUCKETS
}

/// Returns the low 32 bits of an id.
pub(crate) const fn short_id(id: TargetId) -> u32 {
    (id & 0xffff_ffff) as u32
}

/// Returns the rendezvous hashing score of a router for a key; the key is assigned
/// to the routers with the highest scores.
pub(crate) const fn rendezvous_score(key: u64, router: InstanceId) -> u64 {
    mix64(key ^ mix64(router))
}
