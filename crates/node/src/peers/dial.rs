//! Links that this instance opens.
//!
//! A control instance has one link with each other listed member. The instance
//! with the lower id opens the link. The instance with the higher id does so
//! only after a while without a link, because the other instance may not have it
//! in its list. An instance outside the control group has one link, to any
//! member of the group.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_retries::{Backoff, BackoffSettings, Rng};
use bamboospur_types::mix64;
use tracing::{debug, error};

use super::ControlAddress;
use super::link::{self, Shared};
use crate::essential;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Age of a link from which the retry delay starts at its minimum again.
const STABLE_LINK_AGE: Duration = Duration::from_secs(5);
/// Time without a link after which the instance with the higher id opens one.
const HIGHER_ID_DIAL_DELAY: Duration = Duration::from_secs(3);

/// Starts the threads that maintain the links to the control instances.
pub fn start(control: &[ControlAddress], shared: &Arc<Shared>) {
    let others: Vec<ControlAddress> = control
        .iter()
        .filter(|member| member.id() != shared.own_id)
        .cloned()
        .collect();
    if shared.control {
        for member in others {
            spawn(shared, move |shared| maintain_member_link(shared, &member));
        }
    } else if !others.is_empty() {
        spawn(shared, move |shared| maintain_uplink(shared, &others));
    }
}

fn spawn(shared: &Arc<Shared>, run: impl FnOnce(&Shared) + Send + 'static) {
    let shared = Arc::clone(shared);
    if let Err(error) = essential::spawn("link-out", move || run(&shared)) {
        error!(%error, "starting the thread of an outgoing link failed; the link is not opened");
    }
}

/// Exponential delay between attempts to open a link.
struct RetryDelay {
    backoff: Backoff,
    rng: Rng,
    attempt: u32,
}

impl RetryDelay {
    fn new(seed: u64) -> Self {
        let settings = BackoffSettings {
            base: MIN_RETRY_DELAY,
            cap: MAX_RETRY_DELAY,
        };
        Self {
            backoff: Backoff::new(settings),
            rng: Rng::new(seed),
            attempt: 0,
        }
    }

    /// Sleeps before the next attempt. `attempt_duration` includes the time that
    /// the link was up.
    fn wait(&mut self, attempt_duration: Duration) {
        if attempt_duration >= STABLE_LINK_AGE {
            self.attempt = 0;
        }
        thread::sleep(self.backoff.next(self.attempt, &mut self.rng));
        self.attempt = self.attempt.saturating_add(1);
    }
}

/// Returns a seed that differs between instances, so that they do not dial at
/// the same times after they lost the same control instance.
fn seed(shared: &Shared, salt: u64) -> u64 {
    mix64(shared.own_id ^ mix64(salt ^ u64::from(std::process::id())))
}

/// Keeps a link with another member of the control group.
fn maintain_member_link(shared: &Shared, member: &ControlAddress) {
    let id = member.id();
    let mut retry_delay = RetryDelay::new(seed(shared, id));
    let mut last_connected = Instant::now();
    loop {
        let started = Instant::now();
        if shared.is_connected(id) {
            last_connected = started;
        } else if shared.own_id < id || started - last_connected >= HIGHER_ID_DIAL_DELAY {
            dial(shared, member);
            last_connected = Instant::now();
        }
        retry_delay.wait(started.elapsed());
    }
}

/// Keeps one link to any member of the control group, trying them in turn.
fn maintain_uplink(shared: &Shared, control: &[ControlAddress]) {
    let mut retry_delay = RetryDelay::new(seed(shared, 0));
    // The id of the instance selects the first member, which spreads the
    // instances over the members.
    let mut index = usize::try_from(shared.own_id % control.len() as u64).unwrap_or(0);
    loop {
        let started = Instant::now();
        dial(shared, &control[index]);
        index = (index + 1) % control.len();
        retry_delay.wait(started.elapsed());
    }
}

/// Opens a link and returns when the link has ended.
fn dial(shared: &Shared, member: &ControlAddress) {
    let stream = match TcpStream::connect_timeout(&member.address, CONNECT_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) => {
            debug!(
                %error,
                name = member.name,
                "connecting to a control instance failed; trying again after a delay"
            );
            return;
        }
    };
    if let Err(error) = link::dial(shared, member.id(), stream) {
        debug!(
            %error,
            name = member.name,
            "link to a control instance failed; opening it again after a delay"
        );
    }
}
