//! Read access to the membership for the request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bamboospur_types::{InstanceId, PoolId, TargetId, TargetRecord};

use crate::member::Membership;
use crate::message::DataCentreAggregate;
use crate::record::{InstanceRecord, Load, MemberKey, MemberState, Version};

/// A target as this instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// Record that the target announced.
    pub record: Arc<TargetRecord>,
    /// State of the target.
    pub state: MemberState,
    /// Last known load.
    pub load: Load,
    /// When this instance received the load.
    pub load_updated_at: Instant,
    /// Whether the target takes new work: the target is ready and not damped after
    /// flaps.
    pub takes_work: bool,
}

/// Another data centre as this instance knows it.
#[derive(Clone, Copy, Debug)]
pub struct DataCentreView<'a> {
    /// Newest aggregate of the data centre.
    pub aggregate: &'a DataCentreAggregate,
    /// When this instance received the aggregate.
    pub received_at: Instant,
}

impl Membership {
    /// Returns the targets of a pool that take new work.
    pub fn ready_targets(&self, pool: PoolId, now: Instant) -> impl Iterator<Item = TargetView> {
        self.targets(now)
            .filter(move |view| view.takes_work && view.record.pool_id() == pool)
    }

    /// Returns the known targets of the data centre that are neither dead nor
    /// departed.
    pub fn targets(&self, now: Instant) -> impl Iterator<Item = TargetView> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.version.state.is_final())
            .filter_map(move |(key, entry)| match key {
                MemberKey::Target(id) => entry.view(*id, now),
                MemberKey::Instance(_) => None,
            })
    }

    /// Returns a target, also a dead or departed one until its tombstone expires.
    #[must_use]
    pub fn target(&self, id: TargetId, now: Instant) -> Option<TargetView> {
        self.entries.get(&MemberKey::Target(id))?.view(id, now)
    }

    /// Returns the version of a member's record, also of a dead or departed member.
    #[must_use]
    pub fn version(&self, key: MemberKey) -> Option<Version> {
        Some(self.entries.get(&key)?.version)
    }

    /// Returns the live routers of the data centre including this one, sorted by id.
    #[must_use]
    pub fn routers(&self) -> &[InstanceId] {
        &self.routers
    }

    /// Returns the record of an instance of the data centre, also of a dead one while
    /// its record is kept.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&InstanceRecord> {
        let entry = self.entries.get(&MemberKey::Instance(id))?;
        entry.instance().map(Arc::as_ref)
    }

    /// Returns the UDP address of an instance of the data centre, also of a dead one
    /// while its record is kept.
    #[must_use]
    pub fn router_address(&self, id: InstanceId) -> Option<SocketAddr> {
        let entry = self.entries.get(&MemberKey::Instance(id))?;
        Some(entry.instance()?.address)
    }

    /// Returns the other data centres that have sent aggregates.
    pub fn data_centres(&self) -> impl Iterator<Item = DataCentreView<'_>> {
        self.remote_data_centres
            .received_aggregates()
            .map(|(aggregate, received_at)| DataCentreView {
                aggregate,
                received_at,
            })
    }
}
