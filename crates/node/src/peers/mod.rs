//! Traffic with other instances.
//!
//! Actors send messages through [`Peers`], which never blocks: packets go to
//! the UDP sender thread, frames to the bounded queue of a link. Received
//! messages reach the actors through the mailbox. Any message can be lost, so
//! membership, placement, limits, agreement and request forwarding all repeat
//! theirs.

mod batch;
mod dial;
mod formation;
mod heartbeat;
mod link;
mod links;
mod listen;
mod traffic;
mod udp;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

use bamboospur_crashes::CrashMessage;
use bamboospur_limits::LimitsMessage;
use bamboospur_placement::PlacementMessage;
use bamboospur_target_limits::StatedLimit;
use bamboospur_types::{InstanceId, stable_id};
use bamboospur_wire::FleetKey;
use bamboospur_wire::datagram::Outgoing;

use crate::mailbox::Mailbox;
use crate::secret::Secret;
use crate::settings::NodeSettings;
use batch::Batches;
use udp::Datagram;

pub use formation::{FormationState, FormationStep};
pub use link::{LinkId, LinkMessage, LinkSender};
pub use links::{Link, LinkStatus, Links};
pub use traffic::{Traffic, TrafficStatus};

/// Message for one or several other instances.
#[derive(Debug)]
pub enum PeerMessage {
    /// Gossip and probes between instances, sent by UDP.
    Membership {
        /// Fleet address of the receiver.
        to: SocketAddr,
        /// Gossip or probe.
        message: Box<bamboospur_membership::Message>,
        /// Budgeted size of the packet in bytes.
        bytes: usize,
    },
    /// Message between the placers of routers, sent by UDP.
    Placement {
        /// Receiver.
        to: InstanceId,
        /// Pool whose targets the message is about.
        pool: String,
        /// Content of the message.
        message: PlacementMessage,
    },
    /// Leases, sent by UDP.
    Limits {
        /// Receiver.
        to: InstanceId,
        /// Lease message.
        message: LimitsMessage,
        /// Budgeted size of the packet in bytes.
        bytes: usize,
    },
    /// Message about parts of requests that crash targets, sent by UDP.
    Crashes {
        /// Receiver.
        to: InstanceId,
        /// Content of the message.
        message: CrashMessage,
    },
    /// Limits that targets stated, sent by UDP.
    TargetLimits {
        /// Receiver.
        to: InstanceId,
        /// What the targets stated.
        stated: Vec<StatedLimit>,
    },
    /// Message of the replicated log, sent by TCP.
    Agreement {
        /// Receiver.
        to: InstanceId,
        /// Message of the agreement protocol.
        message: Box<bamboospur_agreement::Message>,
    },
    /// Settings change for all followers, sent by TCP.
    Settings(Box<bamboospur_settings::Diff>),
}

/// A member of the control group as listed in this node's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// Name of the instance.
    pub name: String,
    /// Fleet address of the instance.
    pub address: SocketAddr,
}

impl ControlAddress {
    /// Returns the id of the instance.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        stable_id(&self.name)
    }
}

/// Sender of messages to other instances, shared by the actors of the main loop.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Queue of the UDP sender; `None` on a node without a fleet secret, which
    /// exchanges no messages with other instances.
    udp: Option<SyncSender<Datagram>>,
    addresses: RefCell<BTreeMap<InstanceId, SocketAddr>>,
    batches: RefCell<Batches>,
    links: RefCell<Links>,
    heartbeat: Arc<heartbeat::HeartbeatState>,
    traffic: Arc<Traffic>,
    dropped: Cell<u64>,
}

impl Peers {
    /// Opens the UDP socket, listens for links and starts to dial the control
    /// instances. Without a fleet secret the node opens nothing.
    ///
    /// # Errors
    ///
    /// Returns a message for the operator when the fleet secret cannot be read
    /// or the fleet address cannot be used.
    pub fn start(
        settings: &NodeSettings,
        incarnation: u64,
        mailbox: &Mailbox,
    ) -> Result<Self, String> {
        let Some(file) = &settings.fleet_secret_file else {
            return Ok(Self::default());
        };
        let key = FleetKey::new(Secret::read(file)?.reveal().as_bytes());
        let own_id = stable_id(&settings.name);
        let traffic = Arc::<Traffic>::default();
        let heartbeat = Arc::<heartbeat::HeartbeatState>::default();
        let address = settings.addresses.fleet;
        let socket_settings = udp::SocketSettings {
            key: key.clone(),
            own_id,
            incarnation,
            address,
        };
        let udp = udp::start(&socket_settings, mailbox, &traffic)
            .map_err(|error| format!("cannot use {address}: {error}; choose addresses.fleet"))?;
        let listed = settings.control.iter().any(|member| member.id() == own_id);
        let shared = link::Shared {
            key,
            own_id,
            control: listed,
            mailbox: mailbox.clone(),
            traffic: Arc::clone(&traffic),
            heartbeat: Arc::clone(&heartbeat),
            link_counts: Arc::default(),
        };
        let shared = Arc::new(shared);
        listen::start(address, &shared)
            .map_err(|error| format!("cannot listen on {address}: {error}"))?;
        dial::start(&settings.control, &shared);
        let inner = Inner {
            udp: Some(udp),
            heartbeat,
            traffic,
            ..Inner::default()
        };
        Ok(Self {
            inner: Rc::new(inner),
        })
    }

    /// Sends a message, which can be lost. Placement messages wait for
    /// [`Self::flush_placement`] or a full packet.
    pub fn send(&self, message: PeerMessage) {
        match message {
            PeerMessage::Membership { to, message, .. } => {
                self.send_to_address(to, Outgoing::Membership(*message));
            }
            PeerMessage::Placement { to, pool, message } => {
                let full = self.inner.batches.borrow_mut().add(to, &pool, message);
                if let Some((to, content)) = full {
                    self.send_to_instance(to, content);
                }
            }
            PeerMessage::Limits { to, message, .. } => {
                self.send_to_instance(to, Outgoing::Limits(message));
            }
            PeerMessage::Crashes { to, message } => {
                self.send_to_instance(to, Outgoing::Crashes(message));
            }
            PeerMessage::TargetLimits { to, stated } => {
                self.send_to_instance(to, Outgoing::TargetLimits(stated));
            }
            PeerMessage::Agreement { to, message } => {
                let links = self.inner.links.borrow();
                if !links.send_agreement(to, message) {
                    self.count_dropped();
                }
            }
            PeerMessage::Settings(diff) => {
                let mut links = self.inner.links.borrow_mut();
                links.publish(&diff, Instant::now());
            }
        }
    }

    /// Sends the placement messages collected during this iteration of the main
    /// loop.
    pub fn flush_placement(&self) {
        let batches = self.inner.batches.take();
        for (to, content) in batches.into_packets() {
            self.send_to_instance(to, content);
        }
    }

    /// Sets the fleet addresses of the live routers. Placement and limits messages
    /// to an instance without an address are dropped.
    pub fn set_addresses(&self, addresses: BTreeMap<InstanceId, SocketAddr>) {
        *self.inner.addresses.borrow_mut() = addresses;
    }

    /// Sets the revision in force and the known leader that heartbeats report.
    /// A changed leader is also sent at once.
    pub fn set_heartbeat(&self, revision: u64, leader: Option<InstanceId>) {
        if self.inner.heartbeat.set(revision, leader) {
            self.inner.links.borrow().send_leader(revision, leader);
        }
    }

    /// Returns the links that are up.
    #[must_use]
    pub fn links(&self) -> &RefCell<Links> {
        &self.inner.links
    }

    /// Counts messages that named a target or an instance unknown to this node.
    pub fn count_unresolved(&self, messages: usize) {
        self.inner.traffic.count_unresolved(messages as u64);
    }

    /// Returns the number of messages dropped for lack of an address, a link or
    /// room in a queue.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.get()
    }

    /// Returns the traffic counters, which other threads may read.
    #[must_use]
    pub fn counters(&self) -> Arc<Traffic> {
        Arc::clone(&self.inner.traffic)
    }

    /// Returns the traffic counts since the start of the process.
    #[must_use]
    pub fn traffic(&self) -> TrafficStatus {
        self.inner.traffic.status(self.dropped())
    }

    fn send_to_instance(&self, to: InstanceId, content: Outgoing) {
        let address = self.inner.addresses.borrow().get(&to).copied();
        match address {
            Some(address) => self.send_to_address(address, content),
            None => self.count_dropped(),
        }
    }

    fn send_to_address(&self, to: SocketAddr, content: Outgoing) {
        let datagram = Datagram { to, content };
        let udp = self.inner.udp.as_ref();
        if udp.is_none_or(|udp| udp.try_send(datagram).is_err()) {
            self.count_dropped();
        }
    }

    fn count_dropped(&self) {
        self.inner.dropped.set(self.inner.dropped.get() + 1);
    }
}
