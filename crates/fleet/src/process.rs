//! What the processes of both roles have in common.

use std::time::Duration;

use bamboospur_platform::settings::ProcessSettings;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};
use tracing::warn;

use crate::settings_file::{CHECK_INTERVAL, SettingsFile};
use crate::signals::{SignalAction, Signals};

/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Runs a role on an event loop of one thread until it ends.
///
/// # Errors
///
/// Returns a sentence for the person who starts the process.
pub fn run(role: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, role)
}

/// Waits for a stop. Settings that change meanwhile go to `changed`.
pub async fn until_stopped(
    file: &mut SettingsFile,
    signals: &mut Signals,
    changed: impl AsyncFn(&ProcessSettings),
) {
    let mut look = interval(CHECK_INTERVAL);
    loop {
        let reload = tokio::select! {
            request = signals.next() => match request {
                SignalAction::Stop => return,
                SignalAction::Reload => true,
            },
            _ = look.tick() => file.has_changed(),
        };
        if reload {
            file.reload();
            changed(&file.settings).await;
        }
    }
}

/// Accepts the next connection of callers of one kind.
pub async fn accept(listener: &TcpListener, who: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(%error, who, "no connection accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
