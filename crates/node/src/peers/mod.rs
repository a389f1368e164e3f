//! Traffic with other instances.
//!
//! The actors hand their messages to [`Peers`], which never blocks: packets go
//! to the UDP sender, frames to the bounded queue of a link. What arrives comes
//! back through the mailbox. Every message here can be lost; membership,
//! placement, limits, agreement and the forwarding of requests all repeat.

mod batch;
mod beat;
mod dial;
mod formation;
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

use bamboospur_limits::LimitsMessage;
use bamboospur_placement::PlacementMessage;
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

/// Message for another instance.
#[derive(Debug)]
pub enum PeerMessage {
    /// Gossip and probes between instances, by UDP.
    Membership {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message.
        message: Box<bamboospur_membership::Message>,
        /// Budgeted size of the packet.
        bytes: usize,
    },
    /// Owner counts, by UDP.
    Placement {
        /// Receiver.
        to: InstanceId,
        /// Pool of the counts.
        pool: String,
        /// Message.
        message: PlacementMessage,
    },
    /// Leases, by UDP.
    Limits {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: LimitsMessage,
        /// Budgeted size of the packet.
        bytes: usize,
    },
    /// Replicated log, by TCP.
    Agreement {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Box<bamboospur_agreement::Message>,
    },
    /// A change of the settings for all followers, by TCP.
    Settings(Box<bamboospur_settings::Diff>),
}

/// A listed member of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// Name of the instance.
    pub name: String,
    /// Its fleet address.
    pub address: SocketAddr,
}

impl ControlAddress {
    /// Returns the id of the instance.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        stable_id(&self.name)
    }
}

/// Links to other instances, shared by the actors of the main loop.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Absent on a node without a fleet secret, which talks to no one.
    udp: Option<SyncSender<Datagram>>,
    addresses: RefCell<BTreeMap<InstanceId, SocketAddr>>,
    batches: RefCell<Batches>,
    links: RefCell<Links>,
    beat: Arc<beat::Beat>,
    traffic: Arc<Traffic>,
    dropped: Cell<u64>,
}

impl Peers {
    /// Opens the socket, listens and starts to dial the control instances.
    ///
    /// # Errors
    ///
    /// Returns a sentence for the person who starts the node.
    pub fn start(
        settings: &NodeSettings,
        incarnation: u64,
        mailbox: &Mailbox,
    ) -> Result<Self, String> {
        let Some(file) = &settings.fleet_secret_file else {
            return Ok(Self::default());
        };
        let key = FleetKey::new(Secret::read(file)?.reveal().as_bytes());
        let own = stable_id(&settings.name);
        let traffic = Arc::<Traffic>::default();
        let beat = Arc::<beat::Beat>::default();
        let address = settings.addresses.fleet;
        let socket = udp::Start {
            key: key.clone(),
            own,
            incarnation,
            address,
        };
        let udp = udp::start(&socket, mailbox, &traffic)
            .map_err(|error| format!("cannot use {address}: {error}; choose addresses.fleet"))?;
        let listed = settings.control.iter().any(|member| member.id() == own);
        let shared = link::Shared {
            key,
            own,
            control: listed,
            mailbox: mailbox.clone(),
            traffic: Arc::clone(&traffic),
            beat: Arc::clone(&beat),
            connected: Arc::default(),
        };
        let shared = Arc::new(shared);
        listen::start(address, &shared)
            .map_err(|error| format!("cannot listen on {address}: {error}"))?;
        dial::start(&settings.control, &shared);
        let inner = Inner {
            udp: Some(udp),
            beat,
            traffic,
            ..Inner::default()
        };
        Ok(Self {
            inner: Rc::new(inner),
        })
    }

    /// Sends a message; it can be lost.
    pub fn send(&self, message: PeerMessage) {
        match message {
            PeerMessage::Membership { to, message, .. } => {
                self.datagram(to, Outgoing::Membership(*message));
            }
            PeerMessage::Placement { to, pool, message } => {
                let full = self.inner.batches.borrow_mut().add(to, &pool, message);
                if let Some((to, content)) = full {
                    self.datagram_to(to, content);
                }
            }
            PeerMessage::Limits { to, message, .. } => {
                self.datagram_to(to, Outgoing::Limits(message));
            }
            PeerMessage::Agreement { to, message } => {
                let links = self.inner.links.borrow();
                if !links.send_agreement(to, message) {
                    self.drop_one();
                }
            }
            PeerMessage::Settings(diff) => {
                let mut links = self.inner.links.borrow_mut();
                links.publish(&diff, Instant::now());
            }
        }
    }

    /// Sends the placement messages of this turn of the main loop.
    pub fn flush(&self) {
        let batches = self.inner.batches.take();
        for (to, content) in batches.into_packets() {
            self.datagram_to(to, content);
        }
    }

    /// Sets the addresses of the live routers.
    pub fn set_addresses(&self, addresses: BTreeMap<InstanceId, SocketAddr>) {
        *self.inner.addresses.borrow_mut() = addresses;
    }

    /// Sets what heartbeats say: the revision in force and the known leader.
    pub fn set_heartbeat(&self, revision: u64, leader: Option<InstanceId>) {
        if self.inner.beat.set(revision, leader) {
            self.inner.links.borrow().tell_leader(revision, leader);
        }
    }

    /// Returns the links.
    #[must_use]
    pub fn links(&self) -> &RefCell<Links> {
        &self.inner.links
    }

    /// Counts messages that named a target or an instance that is not known.
    pub fn count_unresolved(&self, messages: usize) {
        self.inner.traffic.leave_out(messages as u64);
    }

    /// Returns how many messages were dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.get()
    }

    /// Returns the counters, for another thread.
    #[must_use]
    pub fn counters(&self) -> Arc<Traffic> {
        Arc::clone(&self.inner.traffic)
    }

    /// Returns the bytes sent and received.
    #[must_use]
    pub fn traffic(&self) -> TrafficStatus {
        self.inner.traffic.status(self.dropped())
    }

    fn datagram_to(&self, to: InstanceId, content: Outgoing) {
        let address = self.inner.addresses.borrow().get(&to).copied();
        match address {
            Some(address) => self.datagram(address, content),
            None => self.drop_one(),
        }
    }

    fn datagram(&self, to: SocketAddr, content: Outgoing) {
        let datagram = Datagram { to, content };
        let udp = self.inner.udp.as_ref();
        if udp.is_none_or(|udp| udp.try_send(datagram).is_err()) {
            self.drop_one();
        }
    }

    fn drop_one(&self) {
        self.inner.dropped.set(self.inner.dropped.get() + 1);
    }
}
