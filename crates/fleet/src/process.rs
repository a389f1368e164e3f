//! Event loop, settings reload and accept loop, shared by both roles.

use std::time::Duration;

use bamboospur_platform::settings::ProcessSettings;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};
use tracing::warn;

use crate::settings_file::{CHECK_INTERVAL, SettingsFile};
use crate::signals::{SignalAction, Signals};

/// Pause after a failed accept, for example while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Runs a role on a single-threaded event loop until the role ends.
///
/// # Errors
///
/// Returns a message for the person who starts the process.
pub fn run(role: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, role)
}

/// Waits for a signal to stop. Reloads the settings file on a signal or when the file
/// changes, and passes the settings to `changed`.
pub async fn until_stopped(
    file: &mut SettingsFile,
    signals: &mut Signals,
    changed: impl AsyncFn(&ProcessSettings),
) {
    let mut check_timer = interval(CHECK_INTERVAL);
    loop {
        let reload = tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => return,
                SignalAction::Reload => true,
            },
            _ = check_timer.tick() => file.has_changed(),
        };
        if reload {
            file.reload();
            changed(&file.settings).await;
        }
    }
}

/// Accepts the next connection, and tries again after errors. `who` names the callers
/// in log lines.
pub async fn accept(listener: &TcpListener, who: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(%error, who, "failed to accept a connection; trying again");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
