//! The UDP socket: one thread receives, one sends.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use bamboospur_membership::MembershipInput;
use bamboospur_types::InstanceId;
use bamboospur_wire::FleetKey;
use bamboospur_wire::datagram::{
    Body, DatagramError, IP_BYTES, MAX_DATAGRAM_BYTES, OpenedPacket, Opener, Outgoing, PacketKind,
    Sealer,
};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{debug, error, warn};

use super::Traffic;
use crate::actors::{MembersMessage, RouterMessage};
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Packets that wait for the sender. At 1,200 bytes this is 1.2 MB.
const QUEUE: usize = 1_024;
/// Room for bursts while the receiving thread is not scheduled.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// A packet on the way out.
#[derive(Debug)]
pub struct Datagram {
    pub to: SocketAddr,
    pub content: Outgoing,
}

/// What the socket starts with.
pub struct Start {
    pub key: FleetKey,
    pub own: InstanceId,
    pub incarnation: u64,
    pub address: SocketAddr,
}

/// Opens the socket and starts its threads.
pub fn start(
    start: &Start,
    mailbox: &Mailbox,
    traffic: &Arc<Traffic>,
) -> io::Result<SyncSender<Datagram>> {
    let domain = Domain::for_address(start.address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The system may grant less; bursts are then lost a little earlier.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&start.address.into())?;
    let receiving: UdpSocket = socket.into();
    let sending = receiving.try_clone()?;
    let opener = Opener::new(&start.key, start.address);
    let sealer = Sealer::new(&start.key, start.own, start.incarnation);
    let (sender, queue) = sync_channel(QUEUE);
    let (mailbox, counting) = (mailbox.clone(), Arc::clone(traffic));
    thread::Builder::new()
        .name("udp-in".to_owned())
        .spawn(move || receive(&receiving, opener, &mailbox, &counting))?;
    let counting = Arc::clone(traffic);
    thread::Builder::new()
        .name("udp-out".to_owned())
        .spawn(move || send(&sending, sealer, &queue, &counting))?;
    Ok(sender)
}

/// Sends what the actors put out, until the main loop ends.
fn send(socket: &UdpSocket, mut sealer: Sealer, queue: &Receiver<Datagram>, traffic: &Traffic) {
    while let Ok(Datagram { to, content }) = queue.recv() {
        let packet = match sealer.seal(to, &content) {
            Ok(packet) => packet,
            Err(error) => {
                traffic.exceed();
                error!(%error, "a packet was not made");
                continue;
            }
        };
        if packet.sent_bytes() > packet.budget_bytes {
            traffic.exceed();
            let (bytes, budget_bytes) = (packet.sent_bytes(), packet.budget_bytes);
            warn!(kind = %packet.kind, bytes, budget_bytes, "a packet exceeds its budget");
        }
        match socket.send_to(&packet.bytes, to) {
            Ok(_) => traffic.packet_sent(packet.kind, packet.sent_bytes()),
            // Linux reports the refusal of an earlier packet here.
            Err(error) => {
                traffic.fail();
                debug!(%error, %to, "a packet was not sent");
            }
        }
    }
}

fn receive(socket: &UdpSocket, mut opener: Opener, mailbox: &Mailbox, traffic: &Traffic) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, address) = match socket.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) => {
                // An earlier packet was refused; the socket itself goes on.
                debug!(%error, "receiving failed");
                continue;
            }
        };
        match opener.open(&buffer[..length]) {
            Ok(packet) => {
                traffic.packet_received(kind(&packet.body), length + IP_BYTES);
                mailbox.send(mail(packet, address));
            }
            Err(error) => refuse(&error, address, traffic),
        }
    }
}

fn refuse(error: &DatagramError, address: SocketAddr, traffic: &Traffic) {
    traffic.refuse();
    // Anyone can send packets, so a flood of them must not fill the log.
    debug!(%error, %address, "a packet was refused");
}

const fn kind(body: &Body) -> PacketKind {
    match body {
        Body::Membership(_) => PacketKind::Membership,
        Body::Placement { .. } => PacketKind::Placement,
        Body::Limits(_) => PacketKind::Limits,
    }
}

fn mail(packet: OpenedPacket, address: SocketAddr) -> MainLoopMessage {
    let (from, sequence) = (packet.sender, packet.sequence);
    match packet.body {
        Body::Membership(message) => {
            let input = MembershipInput::Packet {
                from,
                address,
                message,
            };
            MainLoopMessage::Members(MembersMessage::Notify(Box::new(input)))
        }
        Body::Placement { pool, messages } => MainLoopMessage::Router(RouterMessage::Placement {
            from,
            pool,
            sequence,
            messages,
        }),
        Body::Limits(message) => MainLoopMessage::Router(RouterMessage::Limits { from, message }),
    }
}
