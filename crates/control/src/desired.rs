//! Desired state of the engines and limits on orders, read from the settings.

use std::time::Duration;

use bamboospur_orders::{DesiredState, DesiredVersion, OrderLimits};
use bamboospur_settings::{Fleet, OrderSettings};
use bamboospur_types::Offer;

/// Returns the managed model versions of each pool. Versions without a replica
/// count are not managed.
#[must_use]
pub fn desired_state(fleet: &Fleet) -> DesiredState {
    let mut desired = DesiredState::default();
    for (model_name, model) in &fleet.models {
        for (version_name, version) in &model.versions {
            let Some(replicas) = version.replicas else {
                continue;
            };
            let desired_version = DesiredVersion {
                offer: Offer {
                    model: model_name.clone(),
                    version: version_name.clone(),
                    adapter: None,
                },
                replicas,
                role: version.role.to_string(),
                adapters: version.adapters.clone(),
            };
            desired
                .pools
                .entry(model.pool.clone())
                .or_default()
                .push(desired_version);
        }
    }
    desired
}

/// Returns the rate limit, deadline and clock drift of orders.
#[must_use]
pub const fn order_limits(orders: &OrderSettings) -> OrderLimits {
    OrderLimits {
        loads_per_minute: orders.loads_per_minute,
        deadline: Duration::from_millis(orders.deadline_ms),
        clock_drift: Duration::from_millis(orders.clock_drift_ms),
    }
}
