//! Read access for the request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bamboospur_types::{InstanceId, PoolId, TargetId, TargetRecord};

use crate::member::Membership;
use crate::message::DataCentreAggregate;
use crate::record::{InstanceRecord, Load, MemberKey, MemberState, Version};

/// What is known about a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// What the target announced.
    pub record: Arc<TargetRecord>,
    /// State of the target.
    pub state: MemberState,
    /// Last known load.
    pub load: Load,
    /// When the load was learnt here.
    pub load_updated_at: Instant,
    /// Whether the target takes new work: it is ready and not damped.
    pub takes_work: bool,
}

/// What is known about another data centre.
#[derive(Clone, Copy, Debug)]
pub struct DataCentreView<'a> {
    /// Newest aggregate.
    pub aggregate: &'a DataCentreAggregate,
    /// When it was received here.
    pub received_at: Instant,
}

impl Membership {
    /// Returns the targets of a pool that take new work.
    pub fn ready_targets(&self, pool: PoolId, now: Instant) -> impl Iterator<Item = TargetView> {
        self.targets(now)
            .filter(move |view| view.takes_work && view.record.pool_id() == pool)
    }

    /// Returns all known targets of the data centre that have not gone.
    pub fn targets(&self, now: Instant) -> impl Iterator<Item = TargetView> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.version.state.is_final())
            .filter_map(move |(key, entry)| match key {
                MemberKey::Target(id) => entry.view(*id, now),
                MemberKey::Instance(_) => None,
            })
    }

    /// Returns one target, gone or not.
    #[must_use]
    pub fn target(&self, id: TargetId, now: Instant) -> Option<TargetView> {
        self.entries.get(&MemberKey::Target(id))?.view(id, now)
    }

    /// Returns the version of any member's record.
    #[must_use]
    pub fn version(&self, key: MemberKey) -> Option<Version> {
        Some(self.entries.get(&key)?.version)
    }

    /// Returns the live routers of the data centre with this one, in order.
    #[must_use]
    pub fn routers(&self) -> &[InstanceId] {
        &self.routers
    }

    /// Returns what a live router of the data centre announced.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&InstanceRecord> {
        let entry = self.entries.get(&MemberKey::Instance(id))?;
        entry.instance().map(Arc::as_ref)
    }

    /// Returns the UDP address of a live router of the data centre.
    #[must_use]
    pub fn router_address(&self, id: InstanceId) -> Option<SocketAddr> {
        let entry = self.entries.get(&MemberKey::Instance(id))?;
        Some(entry.instance()?.address)
    }

    /// Returns the other data centres that have sent aggregates.
    pub fn data_centres(&self) -> impl Iterator<Item = DataCentreView<'_>> {
        self.remotes
            .known()
            .map(|(aggregate, received_at)| DataCentreView {
                aggregate,
                received_at,
            })
    }
}
