//! One TCP link between two instances: the handshake, and a thread for each
//! direction.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bamboospur_types::InstanceId;
use bamboospur_wire::FleetKey;
use bamboospur_wire::link::{
    FRAME_HEADER_BYTES, Frame, FrameReader, FrameWriter, HELLO_BYTES, Hello, LinkError,
    NONCE_BYTES, Side, open_session,
};
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tracing::{debug, info, warn};

use super::Traffic;
use super::heartbeat::HeartbeatState;
use crate::actors::ControlMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Idle time after which a heartbeat is sent. Two heartbeats in a row can be
/// late before the other end closes the link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Time without received data after which a link is closed, although TCP may
/// still keep the connection open.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which sent data can stay unacknowledged, or a write blocked, before
/// the connection ends.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(10);
/// Capacity of the send queue of one link. Agreement keeps at most 16 appends of
/// 256 KB in flight to a follower; other frames are small.
const MAX_QUEUED_FRAMES: usize = 1_024;
/// Size from which no further frames are added to one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Number of a link, unique within the process.
pub type LinkId = u64;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Message of a link to the control actor.
#[derive(Debug)]
pub enum LinkMessage {
    /// The handshake succeeded: the other end has proved that it belongs to the
    /// fleet.
    Up {
        /// Number of the link.
        link: LinkId,
        /// Instance at the other end.
        peer: InstanceId,
        /// Whether the other end is a listed member of the control group.
        control: bool,
        /// Queue of frames for the other end.
        queue: LinkSender,
    },
    /// A frame was received.
    Frame {
        /// Number of the link.
        link: LinkId,
        /// Received frame.
        frame: Frame,
    },
    /// The link has ended.
    Down {
        /// Number of the link.
        link: LinkId,
    },
}

#[derive(Debug)]
enum QueueItem {
    Frame(Frame),
    Close,
}

/// Sending end of a link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    sender: SyncSender<QueueItem>,
    stream: Arc<TcpStream>,
}

impl LinkSender {
    /// Queues a frame. Returns false when the queue is full or the link has
    /// ended.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.sender.try_send(QueueItem::Frame(frame)).is_ok()
    }

    /// Ends the link after the queued frames are written, or at once when the
    /// queue is full.
    pub fn close(&self) {
        if matches!(
            self.sender.try_send(QueueItem::Close),
            Err(TrySendError::Full(_))
        ) {
            // The connection may be closed already.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// State that all links of an instance share.
#[derive(Debug)]
pub struct Shared {
    pub key: FleetKey,
    pub own_id: InstanceId,
    /// Whether this instance is a listed member of the control group.
    pub control: bool,
    pub mailbox: Mailbox,
    pub traffic: Arc<Traffic>,
    pub heartbeat: Arc<HeartbeatState>,
    /// Number of links to each instance.
    pub link_counts: Arc<Mutex<BTreeMap<InstanceId, usize>>>,
}

impl Shared {
    pub fn is_connected(&self, peer: InstanceId) -> bool {
        let link_counts = self.link_counts.lock();
        let link_counts = link_counts.unwrap_or_else(PoisonError::into_inner);
        link_counts.get(&peer).is_some_and(|links| *links > 0)
    }

    fn adjust_link_count(&self, peer: InstanceId, change: isize) {
        let link_counts = self.link_counts.lock();
        let mut link_counts = link_counts.unwrap_or_else(PoisonError::into_inner);
        let links = link_counts.entry(peer).or_default();
        *links = links.saturating_add_signed(change);
    }
}

quick_error! {
    /// Why a link ended.
    #[derive(Debug)]
    pub enum LinkEndError {
        /// The connection failed, was closed, or a read or write timed out.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// The other end violated the link protocol.
        Protocol(error: LinkError) {
            from()
            display("{error}")
        }
    }
}

/// A connection after the exchange of hellos.
struct Session {
    peer: Hello,
    writer: FrameWriter,
    reader: FrameReader,
}

/// Runs the dialling end of a link until it ends.
pub fn dial(shared: &Shared, to: InstanceId, stream: TcpStream) -> Result<(), LinkEndError> {
    set_socket_options(&stream)?;
    let own = own_hello(shared, to)?;
    (&stream).write_all(&own.encode())?;
    let peer = read_hello(&stream)?;
    if peer.from != to || peer.to != shared.own_id {
        return Err(LinkError::WrongInstance { found: peer.from }.into());
    }
    let (writer, reader) = open_session(&shared.key, Side::Dialler, &own, &peer);
    let session = Session {
        peer,
        writer,
        reader,
    };
    run(shared, stream, session)
}

/// Runs the accepting end of a link until it ends.
pub fn accept(shared: &Shared, stream: TcpStream) -> Result<(), LinkEndError> {
    set_socket_options(&stream)?;
    let peer = read_hello(&stream)?;
    if peer.to != shared.own_id {
        return Err(LinkError::WrongInstance { found: peer.to }.into());
    }
    let own = own_hello(shared, peer.from)?;
    (&stream).write_all(&own.encode())?;
    let (writer, reader) = open_session(&shared.key, Side::Listener, &peer, &own);
    let session = Session {
        peer,
        writer,
        reader,
    };
    run(shared, stream, session)
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEP_ALIVE_IDLE))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(USER_TIMEOUT))
}

fn own_hello(shared: &Shared, to: InstanceId) -> io::Result<Hello> {
    let mut nonce = [0; NONCE_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut nonce)?;
    Ok(Hello {
        from: shared.own_id,
        to,
        control: shared.control,
        nonce,
    })
}

fn read_hello(mut stream: &TcpStream) -> Result<Hello, LinkEndError> {
    let mut bytes = [0; HELLO_BYTES];
    stream.read_exact(&mut bytes)?;
    Ok(Hello::decode(&bytes)?)
}

fn run(shared: &Shared, stream: TcpStream, session: Session) -> Result<(), LinkEndError> {
    let Session {
        peer,
        mut writer,
        mut reader,
    } = session;
    // The first frame proves to the other end that this instance has the fleet
    // secret.
    send_frames(&stream, &mut writer, shared, &[shared.heartbeat.frame()])?;
    let first = read_frame(&stream, &mut reader, shared)?;
    let link = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
    let stream = Arc::new(stream);
    let (sender, receiver) = sync_channel(MAX_QUEUED_FRAMES);
    let queue = LinkSender {
        sender,
        stream: Arc::clone(&stream),
    };
    shared.adjust_link_count(peer.from, 1);
    info!(
        peer = format!("{:016x}", peer.from),
        link, "link to another instance established"
    );
    shared.send_to_control(LinkMessage::Up {
        link,
        peer: peer.from,
        control: peer.control,
        queue,
    });
    shared.send_to_control(LinkMessage::Frame { link, frame: first });
    let result = thread::scope(|scope| {
        let write_stream = &stream;
        scope.spawn(move || {
            let result = write_frames(write_stream, &mut writer, shared, &receiver);
            if let Err(error) = result {
                debug!(%error, link, "writing to a link failed; closing the link");
            }
            // This ends the blocked read of the other thread. The connection may
            // be closed already.
            let _ = write_stream.shutdown(Shutdown::Both);
        });
        let result = read_frames(&stream, &mut reader, shared, link);
        // The control actor drops the queue on this message, which ends the
        // writer.
        let _ = stream.shutdown(Shutdown::Both);
        shared.send_to_control(LinkMessage::Down { link });
        result
    });
    shared.adjust_link_count(peer.from, -1);
    if let Err(error) = &result {
        warn!(
            peer = format!("{:016x}", peer.from),
            link,
            %error,
            "link to another instance failed; the link is closed"
        );
    }
    result
}

impl Shared {
    fn send_to_control(&self, message: LinkMessage) {
        self.mailbox
            .send(MainLoopMessage::Control(ControlMessage::Link(message)));
    }
}

fn read_frames(
    stream: &TcpStream,
    reader: &mut FrameReader,
    shared: &Shared,
    link: LinkId,
) -> Result<(), LinkEndError> {
    loop {
        let frame = read_frame(stream, reader, shared)?;
        if frame == Frame::Goodbye {
            return Ok(());
        }
        shared.send_to_control(LinkMessage::Frame { link, frame });
    }
}

/// Reads one frame. A read that times out is an error, which ends the link.
fn read_frame(
    mut stream: &TcpStream,
    reader: &mut FrameReader,
    shared: &Shared,
) -> Result<Frame, LinkEndError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let length = reader.body_bytes(&header)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let frame = reader.read(&header, &body)?;
    let bytes = FRAME_HEADER_BYTES + length;
    shared.traffic.count_frame_received(frame.kind(), bytes);
    Ok(frame)
}

fn write_frames(
    stream: &TcpStream,
    writer: &mut FrameWriter,
    shared: &Shared,
    queue: &Receiver<QueueItem>,
) -> Result<(), LinkEndError> {
    loop {
        match queue.recv_timeout(HEARTBEAT_INTERVAL) {
            Ok(QueueItem::Frame(first)) => {
                let mut frames = vec![first];
                let mut close = false;
                let mut bytes = 0;
                while bytes < WRITE_BATCH_BYTES {
                    match queue.try_recv() {
                        Ok(QueueItem::Frame(frame)) => {
                            bytes += estimated_bytes(&frame);
                            frames.push(frame);
                        }
                        Ok(QueueItem::Close) => {
                            close = true;
                            break;
                        }
                        Err(_) => break,
                    }
                }
                send_frames(stream, writer, shared, &frames)?;
                if close {
                    return send_frames(stream, writer, shared, &[Frame::Goodbye]);
                }
            }
            Ok(QueueItem::Close) | Err(RecvTimeoutError::Disconnected) => {
                return send_frames(stream, writer, shared, &[Frame::Goodbye]);
            }
            Err(RecvTimeoutError::Timeout) => {
                send_frames(stream, writer, shared, &[shared.heartbeat.frame()])?;
            }
        }
    }
}

/// Estimates the size of a frame, to limit the size of a write.
const fn estimated_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Agreement(_) | Frame::Settings(_) => WRITE_BATCH_BYTES / 8,
        Frame::Request { body, .. } | Frame::Reply { body, .. } => body.len(),
        _ => 64,
    }
}

/// Writes the frames together.
fn send_frames(
    mut stream: &TcpStream,
    writer: &mut FrameWriter,
    shared: &Shared,
    frames: &[Frame],
) -> Result<(), LinkEndError> {
    let mut bytes = Vec::new();
    for frame in frames {
        match writer.write(frame) {
            Ok(frame_bytes) => {
                shared
                    .traffic
                    .count_frame_sent(frame.kind(), frame_bytes.len());
                bytes.extend(frame_bytes);
            }
            // The link stays up; the frame counts as lost.
            Err(error) => warn!(%error, "encoding a frame failed; the frame is dropped"),
        }
    }
    stream.write_all(&bytes)?;
    shared.traffic.count_write();
    Ok(())
}
