//! Checks whether a silent target can still be reached.
//!
//! When the network drops packets, a kept connection is silent for seconds before TCP gives
//! it up, and requests go on being sent over it and others like it. A new connection tells
//! after a few milliseconds whether the target is only slow. The dispatcher avoids targets
//! that cannot be connected to, and other data centres with several such targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_dispatch::ChosenTarget;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::info;

use super::state::Router;
use crate::process::spawn_detached;

/// Time without a byte of the expected answer after which the target is checked.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(250);
/// Time limit of the connection of a check; a link has a delay of a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest time between two checks of a target by one router.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval per router of the fleet, so that all together connect to an overloaded target at
/// most 20 times a second.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(50);

/// Limits the rate of checks.
#[derive(Clone, Debug, Default)]
pub struct PathChecks {
    /// When a target may be checked again.
    next_at: BTreeMap<SocketAddr, Instant>,
}

impl PathChecks {
    /// Whether a target may be checked now by one of `routers`; if so, counts the check.
    pub fn begin(&mut self, target: SocketAddr, routers: u32, now: Instant) -> bool {
        self.next_at.retain(|_, at| now < *at);
        if self.next_at.contains_key(&target) {
            return false;
        }
        let interval = MIN_INTERVAL.max(INTERVAL_PER_ROUTER * routers);
        self.next_at.insert(target, now + interval);
        true
    }
}

/// Waits for a part of an answer, and checks the target once the part has not arrived for
/// [`SILENCE_BEFORE_CHECK`].
pub async fn await_answer<T>(
    router: &Rc<Router>,
    service: &str,
    choice: &ChosenTarget,
    part: impl Future<Output = T>,
) -> T {
    tokio::pin!(part);
    if let Ok(arrived) = timeout(SILENCE_BEFORE_CHECK, &mut part).await {
        return arrived;
    }
    check_path(router, service, choice);
    part.await
}

/// Connects to a target in the background, and records it as unreachable if that fails.
fn check_path(router: &Rc<Router>, service: &str, choice: &ChosenTarget) {
    let (address, routers) = (choice.address, router.router_count());
    let mut checks = router.path_checks.borrow_mut();
    if !checks.begin(address, routers, Instant::now()) {
        return;
    }
    let (router, service, choice) = (Rc::clone(router), service.to_owned(), choice.clone());
    spawn_detached(async move {
        // A refused connection is an answer; what it means is found out elsewhere.
        if timeout(CHECK_TIMEOUT, TcpStream::connect(address))
            .await
            .is_ok()
        {
            return;
        }
        info!(
            target_name = choice.name,
            %address,
            "a silent target accepts no connection in time; avoiding it"
        );
        router.pool.borrow_mut().close_all(address);
        let mut dispatcher = router.dispatcher.borrow_mut();
        dispatcher.record_unreachable(&service, &choice, Instant::now());
    });
}
