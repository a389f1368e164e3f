//! Event loop, settings reload and accept loop, shared by both roles, and the end of a process
//! one of whose parts has ended.
//!
//! A panic ends only its task or thread. A process that went on without its state, its listeners
//! or its disk would accept calls and answer none, and nobody would start it again. So these
//! parts hold an [`Essential`], and the process ends with the first of them.

use std::future::pending;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bamboospur_http1::{Door, DoorSettings, Place, socket};
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_types::BufferBudget;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};
use tracing::{error, warn};

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
    PARTS.with(|parts| parts.send_replace(Parts::Running));
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, role);
    PARTS.with(|parts| parts.send_replace(Parts::Stopped));
    ended
}

/// Whether the parts run that the process needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parts {
    Running,
    /// This part has ended, the first one.
    Ended(&'static str),
    /// The role has ended, and its parts with it.
    Stopped,
}

thread_local! {
    /// Parts of the role that this thread runs.
    static PARTS: watch::Sender<Parts> = watch::Sender::new(Parts::Running);
}

/// Guard of a task or thread without which the process cannot answer its calls. The process
/// ends when the guard is dropped, by a panic too, unless it was released.
#[derive(Debug)]
pub struct Essential {
    part: &'static str,
    parts: Option<watch::Sender<Parts>>,
}

impl Essential {
    /// Creates the guard of a part; the name is for the log. Must be called on the thread of
    /// the role.
    #[must_use]
    pub fn new(part: &'static str) -> Self {
        Self {
            part,
            parts: Some(PARTS.with(Clone::clone)),
        }
    }

    /// Records that the part has ended because it is not needed any more.
    pub fn release(mut self) {
        self.parts = None;
    }
}

impl Drop for Essential {
    fn drop(&mut self) {
        let Some(parts) = &self.parts else {
            return;
        };
        let is_first = parts.send_if_modified(|parts| {
            let was_running = *parts == Parts::Running;
            if was_running {
                *parts = Parts::Ended(self.part);
            }
            was_running
        });
        if is_first {
            error!(
                part = self.part,
                panicked = thread::panicking(),
                "a part of the process has ended; the process ends, to be started again"
            );
        }
    }
}

/// Starts a task without which the process cannot answer its calls.
pub fn spawn_essential(part: &'static str, task: impl Future<Output = ()> + 'static) {
    let guard = Essential::new(part);
    spawn_detached(async move {
        let _guard = guard;
        task.await;
    });
}

/// Starts a task whose end concerns no other, such as one that serves a connection.
pub fn spawn_detached(task: impl Future<Output = ()> + 'static) {
    #[expect(
        clippy::disallowed_methods,
        reason = "all tasks are started here, so that each says whether it is essential"
    )]
    tokio::task::spawn_local(task);
}

/// Waits until a part has ended that the process needs. Returns its name.
pub async fn essential_ended() -> &'static str {
    let mut parts = PARTS.with(watch::Sender::subscribe);
    loop {
        if let Parts::Ended(part) = *parts.borrow_and_update() {
            return part;
        }
        if parts.changed().await.is_err() {
            // The sender lives as long as the thread.
            pending::<()>().await;
        }
    }
}

/// Waits for a signal to stop. Reloads the settings file on a signal or when the file
/// changes, and passes the settings to `changed`.
///
/// # Errors
///
/// Returns a message if a part of the process has ended without which it cannot go on.
pub async fn until_stopped(
    file: &mut SettingsFile,
    signals: &mut Signals,
    changed: impl AsyncFn(&ProcessSettings),
) -> Result<(), String> {
    let mut check_timer = interval(CHECK_INTERVAL);
    loop {
        let reload = tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => return Ok(()),
                SignalAction::Reload => true,
            },
            part = essential_ended() => {
                return Err(format!("the part {part:?} has ended; start the process again"));
            }
            _ = check_timer.tick() => file.has_changed(),
        };
        if reload {
            file.reload();
            changed(&file.settings).await;
        }
    }
}

/// Listening socket and the places of its connections.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    door: Door,
    /// Names the callers in log lines.
    who: &'static str,
}

impl Listener {
    /// Listens on an address. Connections buffer within `budget`; `who` names the callers in log
    /// lines and errors.
    ///
    /// # Errors
    ///
    /// Returns a message for the person who starts the process.
    pub fn bind(
        address: SocketAddr,
        settings: DoorSettings,
        budget: &BufferBudget,
        who: &'static str,
    ) -> Result<Self, String> {
        let socket = socket::listen(address, &settings);
        let socket = socket.map_err(|error| {
            format!("cannot listen on {address} for {who}: {error}; choose another address")
        })?;
        Ok(Self {
            socket,
            door: Door::new(settings, budget),
            who,
        })
    }

    /// Accepts the next connection, and waits until there is a place for it. Tries again after
    /// errors.
    pub async fn accept(&self) -> (TcpStream, Place) {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => return (stream, self.door.enter().await),
                Err(error) => {
                    warn!(
                        %error,
                        who = self.who,
                        "failed to accept a connection; trying again"
                    );
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
