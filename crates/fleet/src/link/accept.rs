//! The side of a link that accepts.

use std::time::Duration;

use bytes::Bytes;

use bamboospur_http1::io::write_all;
use bamboospur_http1::socket;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

use super::codec::{FrameError, FrameReader};
use super::frame::{Frame, Hello};
use crate::process::accept;

/// Number of an accepted link.
pub type LinkId = u64;

/// Frames that wait for an accepted link, encoded.
#[derive(Clone, Debug)]
pub struct FrameQueue(Sender<Bytes>);

impl FrameQueue {
    /// Adds an encoded frame; returns whether there was room.
    #[must_use]
    pub fn send(&self, bytes: &Bytes) -> bool {
        self.0.try_send(bytes.clone()).is_ok()
    }
}

/// What happens on accepted links.
#[derive(Debug)]
pub enum AcceptEvent {
    /// Someone dialled.
    Opened {
        /// Link.
        link: LinkId,
        /// Who dialled.
        hello: Hello,
        /// Takes frames for it.
        frames: FrameQueue,
    },
    /// A frame arrived.
    Received {
        /// Link.
        link: LinkId,
        /// Frame.
        frame: Frame,
    },
    /// A link ended.
    Ended {
        /// Link.
        link: LinkId,
    },
}

/// The side that dials says something every second.
const SILENCE: Duration = Duration::from_millis(3_500);
/// Time for the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Frames that wait for a link; when there are more, the link is closed and the
/// peer starts again from the present state.
const QUEUE_FRAMES: usize = 512;

/// Accepts links for ever.
///
/// `convert` turns link events into messages of the owner.
pub async fn serve<E: 'static>(
    listener: TcpListener,
    events: Sender<E>,
    convert: fn(AcceptEvent) -> E,
) {
    let mut next_link: LinkId = 0;
    loop {
        let stream = accept(&listener, "links").await;
        next_link += 1;
        spawn_local(link(stream, next_link, events.clone(), convert));
    }
}

async fn link<E>(
    stream: TcpStream,
    link: LinkId,
    events: Sender<E>,
    convert: fn(AcceptEvent) -> E,
) {
    let mut reader = FrameReader::default();
    let first = timeout(HELLO_TIMEOUT, reader.next(&stream)).await;
    let Ok(Ok(Frame::Hello(hello))) = first else {
        info!(link, "a link ended without a hello");
        return;
    };
    if let Err(error) = socket::set_socket_options(&stream, SILENCE) {
        warn!(%error, link, "a link could not be set up");
        return;
    }
    let (frames, mut receiver) = channel(QUEUE_FRAMES);
    let (peer, control) = (hello.id, hello.control().is_some());
    let opened = AcceptEvent::Opened {
        link,
        hello,
        frames: FrameQueue(frames),
    };
    if events.send(convert(opened)).await.is_err() {
        return;
    }
    let convert_frame = |frame| convert(AcceptEvent::Received { link, frame });
    if let Err(error) = exchange(&stream, &mut reader, &mut receiver, &events, convert_frame).await
    {
        info!(link, peer, control, %error, "a link ended");
    }
    // The owner has ended when nobody hears this.
    let _sent = events.send(convert(AcceptEvent::Ended { link })).await;
}

async fn exchange<E>(
    stream: &TcpStream,
    reader: &mut FrameReader,
    frames: &mut Receiver<Bytes>,
    events: &Sender<E>,
    convert_frame: impl Fn(Frame) -> E,
) -> Result<(), FrameError> {
    let timed_out = || FrameError::Io(std::io::ErrorKind::TimedOut.into());
    let mut silent_at = Instant::now() + SILENCE;
    loop {
        tokio::select! {
            bytes = frames.recv() => {
                let Some(bytes) = bytes else {
                    return Ok(());
                };
                let written = timeout(SILENCE, write_all(stream, &bytes, &mut 0)).await;
                written.map_err(|_| timed_out())??;
            }
            frame = reader.next(stream) => {
                silent_at = Instant::now() + SILENCE;
                if events.send(convert_frame(frame?)).await.is_err() {
                    return Ok(());
                }
            }
            () = sleep_until(silent_at) => return Err(timed_out()),
        }
    }
}
