//! The UDP socket, with one thread that receives and one that sends.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use bamboospur_membership::MembershipInput;
use bamboospur_types::InstanceId;
use bamboospur_wire::FleetKey;
use bamboospur_wire::datagram::{
    Body, DatagramError, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, OpenedPacket, Opener, Outgoing,
    PacketKind, Sealer,
};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{debug, error, warn};

use super::Traffic;
use crate::actors::{MembersMessage, RouterMessage};
use crate::essential;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Capacity of the queue of the sending thread. At 1,200 bytes a packet, a full
/// queue holds 1.2 MB.
const MAX_QUEUED_PACKETS: usize = 1_024;
/// Size of the socket's receive buffer, which holds bursts while the receiving
/// thread is not scheduled.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// Content and receiver of a packet to send.
#[derive(Debug)]
pub struct Datagram {
    pub to: SocketAddr,
    pub content: Outgoing,
}

/// Settings of the UDP socket.
pub struct SocketSettings {
    pub key: FleetKey,
    pub own_id: InstanceId,
    pub incarnation: u64,
    pub address: SocketAddr,
}

/// Opens the socket and starts its threads.
pub fn start(
    settings: &SocketSettings,
    mailbox: &Mailbox,
    traffic: &Arc<Traffic>,
) -> io::Result<SyncSender<Datagram>> {
    let domain = Domain::for_address(settings.address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The system may grant a smaller buffer; smaller bursts then lose packets.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&settings.address.into())?;
    let receive_socket: UdpSocket = socket.into();
    let send_socket = receive_socket.try_clone()?;
    let opener = Opener::new(&settings.key, settings.address);
    let sealer = Sealer::new(&settings.key, settings.own_id, settings.incarnation);
    let (sender, queue) = sync_channel(MAX_QUEUED_PACKETS);
    let (mailbox, receive_traffic) = (mailbox.clone(), Arc::clone(traffic));
    essential::spawn("udp-in", move || {
        run_receiver(&receive_socket, opener, &mailbox, &receive_traffic);
    })?;
    let send_traffic = Arc::clone(traffic);
    essential::spawn("udp-out", move || {
        run_sender(&send_socket, sealer, &queue, &send_traffic);
    })?;
    Ok(sender)
}

/// Sends the queued packets until the main loop ends.
fn run_sender(
    socket: &UdpSocket,
    mut sealer: Sealer,
    queue: &Receiver<Datagram>,
    traffic: &Traffic,
) {
    while let Ok(Datagram { to, content }) = queue.recv() {
        let packet = match sealer.seal(to, &content) {
            Ok(packet) => packet,
            Err(error) => {
                traffic.count_over_budget();
                error!(%error, "encoding a packet failed; the packet is dropped");
                continue;
            }
        };
        if packet.sent_bytes() > packet.budget_bytes {
            traffic.count_over_budget();
            let (bytes, budget_bytes) = (packet.sent_bytes(), packet.budget_bytes);
            warn!(
                kind = %packet.kind,
                bytes,
                budget_bytes,
                "packet exceeds its size budget; sending it anyway"
            );
        }
        match socket.send_to(&packet.bytes, to) {
            Ok(_) => traffic.count_packet_sent(packet.kind, packet.sent_bytes()),
            // Linux can report here that an earlier packet was refused.
            Err(error) => {
                traffic.count_not_sent();
                debug!(%error, %to, "sending a packet failed; the packet is lost");
            }
        }
    }
}

fn run_receiver(socket: &UdpSocket, mut opener: Opener, mailbox: &Mailbox, traffic: &Traffic) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, address) = match socket.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) => {
                // An earlier packet was refused; the socket stays usable.
                debug!(%error, "receiving from the UDP socket failed; trying again");
                continue;
            }
        };
        match opener.open(&buffer[..length]) {
            Ok(packet) => {
                traffic
                    .count_packet_received(packet_kind(&packet.body), length + IP_UDP_HEADER_BYTES);
                mailbox.send(main_loop_message(packet, address));
            }
            Err(error) => record_refused(&error, address, traffic),
        }
    }
}

fn record_refused(error: &DatagramError, address: SocketAddr, traffic: &Traffic) {
    traffic.count_refused();
    // Logged at debug level only, because anyone can send packets and a flood of
    // them must not fill the log.
    debug!(%error, %address, "refused a received packet");
}

const fn packet_kind(body: &Body) -> PacketKind {
    match body {
        Body::Membership(_) => PacketKind::Membership,
        Body::Placement { .. } => PacketKind::Placement,
        Body::Limits(_) => PacketKind::Limits,
        Body::Crashes(_) => PacketKind::Crashes,
        Body::TargetLimits(_) => PacketKind::TargetLimits,
    }
}

fn main_loop_message(packet: OpenedPacket, address: SocketAddr) -> MainLoopMessage {
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
        Body::Crashes(message) => MainLoopMessage::Router(RouterMessage::Crashes { from, message }),
        Body::TargetLimits(stated) => {
            MainLoopMessage::Router(RouterMessage::StatedLimits { stated })
        }
        Body::Limits(message) => MainLoopMessage::Router(RouterMessage::Limits { from, message }),
    }
}
