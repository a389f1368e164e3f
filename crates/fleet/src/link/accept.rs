//! Accepting side of a link.

use std::time::Duration;

use bamboospur_http1::io::write_all;
use bamboospur_http1::{Place, socket};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

use super::codec::{FrameError, FrameReader};
use super::frame::{Frame, Hello};
use super::traffic;
use crate::process::{Listener, spawn_detached};

/// Number of an accepted link, unique within the process.
pub type LinkId = u64;

/// Queue of encoded frames to an accepted link.
#[derive(Clone, Debug)]
pub struct FrameQueue(Sender<Bytes>);

impl FrameQueue {
    /// Adds an encoded frame; returns whether there was room.
    #[must_use]
    pub fn send(&self, bytes: &Bytes) -> bool {
        self.0.try_send(bytes.clone()).is_ok()
    }
}

/// Event on an accepted link.
#[derive(Debug)]
pub enum AcceptEvent {
    /// A peer opened a link and sent its hello.
    Opened {
        /// Number of the link.
        link: LinkId,
        /// Identity and role of the peer.
        hello: Hello,
        /// Queue of frames to the peer; the link closes when every copy is dropped.
        frames: FrameQueue,
    },
    /// A frame arrived.
    Received {
        /// Number of the link.
        link: LinkId,
        /// Received frame.
        frame: Frame,
    },
    /// A link ended.
    Ended {
        /// Number of the link.
        link: LinkId,
    },
}

/// A link without a frame from the peer for this time is closed. The side that dials
/// sends a frame every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time limit for the first frame, which must be a hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Frames that can wait for a link. If a frame that must not be lost finds no room, the
/// link is closed, and the peer dials again and requests the current state.
const MAX_QUEUED_FRAMES: usize = 512;

/// Accepts links for ever.
///
/// Frames are buffered within the budget of the listener; `convert` turns link events into events
/// of the receiver.
pub async fn serve<E: 'static>(
    listener: Listener,
    events: Sender<E>,
    convert: fn(AcceptEvent) -> E,
) {
    let mut next_link: LinkId = 0;
    loop {
        let (stream, place) = listener.accept().await;
        next_link += 1;
        spawn_detached(run_link(stream, place, next_link, events.clone(), convert));
    }
}

async fn run_link<E>(
    stream: TcpStream,
    place: Place,
    link: LinkId,
    events: Sender<E>,
    convert: fn(AcceptEvent) -> E,
) {
    let mut reader = FrameReader::new(place.budget());
    let first_frame = tokio::select! {
        biased;
        () = place.displaced() => None,
        frame = timeout(HELLO_TIMEOUT, reader.next(&stream)) => Some(frame),
    };
    let Some(Ok(Ok(Frame::Hello(hello)))) = first_frame else {
        let displaced = first_frame.is_none();
        info!(
            link,
            displaced, "closing a link: no hello as the first frame"
        );
        return;
    };
    place.start_serving();
    if let Err(error) = socket::set_socket_options(&stream, SILENCE_TIMEOUT) {
        warn!(%error, link, "failed to set the socket options of a link; closing the link");
        return;
    }
    let (frames, mut receiver) = channel(MAX_QUEUED_FRAMES);
    let (peer, control) = (hello.id, hello.control_address().is_some());
    let opened = AcceptEvent::Opened {
        link,
        hello,
        frames: FrameQueue(frames),
    };
    if events.send(convert(opened)).await.is_err() {
        return;
    }
    let convert_frame = |frame| convert(AcceptEvent::Received { link, frame });
    if let Err(error) =
        exchange_frames(&stream, &mut reader, &mut receiver, &events, convert_frame).await
    {
        info!(link, peer, control, %error, "link failed; closing it");
    }
    receiver.close();
    while let Ok(dropped) = receiver.try_recv() {
        traffic::record_written(dropped.len());
    }
    // Sending fails only when the receiver of events has ended.
    let _sent = events.send(convert(AcceptEvent::Ended { link })).await;
}

async fn exchange_frames<E>(
    stream: &TcpStream,
    reader: &mut FrameReader,
    frames: &mut Receiver<Bytes>,
    events: &Sender<E>,
    convert_frame: impl Fn(Frame) -> E,
) -> Result<(), FrameError> {
    let timed_out = || FrameError::Io(std::io::ErrorKind::TimedOut.into());
    let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
    loop {
        tokio::select! {
            bytes = frames.recv() => {
                let Some(bytes) = bytes else {
                    return Ok(());
                };
                let written = timeout(SILENCE_TIMEOUT, write_all(stream, &bytes, &mut 0)).await;
                traffic::record_written(bytes.len());
                written.map_err(|_| timed_out())??;
            }
            frame = reader.next(stream) => {
                silent_at = Instant::now() + SILENCE_TIMEOUT;
                if events.send(convert_frame(frame?)).await.is_err() {
                    return Ok(());
                }
            }
            () = sleep_until(silent_at) => return Err(timed_out()),
        }
    }
}
