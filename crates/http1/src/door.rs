//! Listeners with a bounded number of connections, and the place that each connection takes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;

use bamboospur_types::BufferBudget;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::connections::{ConnectionId, ConnectionTable};

/// Smallest and largest receive buffer of a connection.
const MIN_RECEIVE_BUFFER_BYTES: usize = 2 * 1024;
const MAX_RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoorSettings {
    /// Most open connections; further ones wait until others have given way.
    pub connections: usize,
    /// Most connections that the operating system keeps until they are accepted.
    pub backlog: u16,
    /// Size of the receive buffer of a connection. About twice as many bytes can arrive unread.
    pub receive_buffer_bytes: usize,
}

impl DoorSettings {
    /// Limits for a listener whose connections, those in its backlog included, hold at most
    /// `unread_bytes` that nobody has read.
    #[must_use]
    pub fn new(connections: usize, backlog: u16, unread_bytes: usize) -> Self {
        let sockets = connections + usize::from(backlog);
        let buffer_bytes = unread_bytes / (2 * sockets.max(1));
        Self {
            connections,
            backlog,
            receive_buffer_bytes: buffer_bytes
                .clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES),
        }
    }

    /// Returns the most bytes that can arrive unread on all connections.
    #[must_use]
    pub fn unread_bytes(&self) -> usize {
        2 * self.receive_buffer_bytes * (self.connections + usize::from(self.backlog))
    }
}

/// Connections of one listener.
#[derive(Debug)]
pub struct Door {
    state: Rc<DoorState>,
}

#[derive(Debug)]
struct DoorState {
    budget: BufferBudget,
    table: RefCell<ConnectionTable>,
    places: RefCell<BTreeMap<ConnectionId, Rc<Displacement>>>,
    /// Notified when a connection was closed.
    has_room: Notify,
}

/// Tells a connection to give way.
#[derive(Debug, Default)]
struct Displacement {
    is_due: Cell<bool>,
    due: Notify,
}

impl Door {
    /// Creates the door of a listener whose connections buffer within `budget`.
    #[must_use]
    pub fn new(settings: DoorSettings, budget: &BufferBudget) -> Self {
        Self {
            state: Rc::new(DoorState {
                budget: budget.clone(),
                table: RefCell::new(ConnectionTable::new(settings.connections)),
                places: RefCell::default(),
                has_room: Notify::new(),
            }),
        }
    }

    /// Returns a place for an accepted connection. Waits until there is room, for which
    /// connections without a complete request give way.
    pub async fn enter(&self) -> Place {
        loop {
            let now = Instant::now().into_std();
            let opened = self.state.table.borrow_mut().open(now);
            if let Some(id) = opened {
                return self.place(id);
            }
            self.displace(now);
            let next_at = self.state.table.borrow().next_victim_at(now);
            tokio::select! {
                () = self.state.has_room.notified() => {}
                () = wait_until(next_at) => {}
            }
        }
    }

    /// Waits until no connection has a place.
    pub async fn wait_until_empty(&self) {
        loop {
            let has_room = self.state.has_room.notified();
            if self.state.table.borrow().is_empty() {
                return;
            }
            has_room.await;
        }
    }

    fn place(&self, id: ConnectionId) -> Place {
        let displacement = Rc::new(Displacement::default());
        let shared = Rc::clone(&displacement);
        self.state.places.borrow_mut().insert(id, shared);
        Place {
            door: Rc::clone(&self.state),
            id,
            displacement,
        }
    }

    fn displace(&self, now: std::time::Instant) {
        let victims = self.state.table.borrow_mut().take_victims(now);
        let places = self.state.places.borrow();
        for place in victims.iter().filter_map(|id| places.get(id)) {
            place.is_due.set(true);
            place.due.notify_one();
        }
    }
}

async fn wait_until(time: Option<std::time::Instant>) {
    match time {
        Some(time) => sleep_until(time.into()).await,
        None => pending().await,
    }
}

/// Place of an open connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct Place {
    door: Rc<DoorState>,
    id: ConnectionId,
    displacement: Rc<Displacement>,
}

impl Place {
    /// Returns the budget for the buffers of the connection.
    #[must_use]
    pub fn budget(&self) -> &BufferBudget {
        &self.door.budget
    }

    /// Whether the connection has to give way to another one.
    pub(crate) fn is_displaced(&self) -> bool {
        self.displacement.is_due.get()
    }

    /// Waits until the connection has to give way to another one.
    pub fn displaced(&self) -> impl Future<Output = ()> + use<> {
        let displacement = Rc::clone(&self.displacement);
        async move {
            while !displacement.is_due.get() {
                displacement.due.notified().await;
            }
        }
    }

    /// Waits for `work`, but no longer than until the connection has to give way.
    pub(crate) async fn unless_displaced(&self, work: impl Future<Output = ()>) {
        tokio::select! {
            biased;
            () = self.displaced() => {}
            () = work => {}
        }
    }

    /// Records that bytes of the next request have arrived.
    pub(crate) fn record_received(&self, bytes: usize) {
        let now = Instant::now().into_std();
        let mut table = self.door.table.borrow_mut();
        table.record_received(self.id, bytes, now);
    }

    /// Records that a request is complete, so that the connection does not give way.
    pub fn start_serving(&self) {
        self.door.table.borrow_mut().start_serving(self.id);
    }

    /// Records that the connection waits for its next request.
    pub(crate) fn start_reading(&self) {
        let now = Instant::now().into_std();
        self.door.table.borrow_mut().start_reading(self.id, now);
    }

    /// Records that the connection is about to be closed.
    pub(crate) fn start_closing(&self) {
        self.door.table.borrow_mut().start_closing(self.id);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.door.places.borrow_mut().remove(&self.id);
        self.door.table.borrow_mut().close(self.id);
        self.door.has_room.notify_one();
    }
}
