//! Control instance played by a test: it has the id and the address of a voter, and sends frames
//! to real instances over links.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use bamboospur_agreement::{Message, MessageBody};
use bamboospur_fleet::link::{Frame, FrameReader, Hello, Role, encode};
use bamboospur_types::{BufferBudget, InstanceId, stable_id};

use super::harness::{Deployment, LINK_PORT};

/// Frames that real instances sent.
pub type ReceivedFrames = Arc<Mutex<Vec<Frame>>>;

pub struct StandIn {
    id: InstanceId,
    address: SocketAddr,
}

impl StandIn {
    /// Plays the control instance at this index, whose process must not be running.
    pub fn new(deployment: &Deployment, index: u8) -> Self {
        let address = deployment.address(index, LINK_PORT);
        Self {
            id: founder_id(deployment, index),
            address,
        }
    }

    /// Opens a link to the control instance at this index.
    pub fn open_link(&self, deployment: &Deployment, index: u8) -> TcpStream {
        let link = TcpStream::connect(deployment.address(index, LINK_PORT)).expect("a link");
        let role = Role::Control {
            links: self.address,
        };
        send(&link, &Frame::Hello(Hello { id: self.id, role }));
        link
    }

    /// Returns a frame that tells the control instance at this index that the stand-in leads in
    /// this term.
    pub fn heartbeat(&self, deployment: &Deployment, index: u8, term: u64) -> Frame {
        let to = founder_id(deployment, index);
        let (commit, round) = (0, 1);
        let message = Message {
            from_disk: self.id,
            to_disk: to,
            term,
            body: MessageBody::Heartbeat { commit, round },
        };
        let message = Box::new(message);
        Frame::Replica { to, message }
    }

    /// Accepts links in the background, and answers each frame with those that `answers` returns.
    pub fn listen(
        &self,
        answers: impl Fn(&Frame) -> Vec<Frame> + Clone + Send + 'static,
    ) -> ReceivedFrames {
        let listener = TcpListener::bind(self.address).expect("a listener");
        let received = ReceivedFrames::default();
        let frames = Arc::clone(&received);
        thread::spawn(move || {
            for link in listener.incoming().map_while(Result::ok) {
                let (frames, answers) = (Arc::clone(&frames), answers.clone());
                thread::spawn(move || receive(link, &frames, &answers));
            }
        });
        received
    }
}

/// Returns the id of the control instance at this index, which is that of its first disk as well.
fn founder_id(deployment: &Deployment, index: u8) -> InstanceId {
    stable_id(&format!("founder {}", deployment.address(index, LINK_PORT)))
}

pub fn send(mut link: &TcpStream, frame: &Frame) {
    let bytes = encode(frame).expect("a frame within the size limit");
    link.write_all(&bytes).expect("the frame is sent");
}

/// Reads and answers frames until the link ends.
fn receive(
    mut link: TcpStream,
    frames: &Mutex<Vec<Frame>>,
    answers: &impl Fn(&Frame) -> Vec<Frame>,
) {
    let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = link.read(&mut buffer) {
        reader.push(&buffer[..count]);
        while let Some(frame) = reader.take().expect("frames") {
            for answer in answers(&frame) {
                send(&link, &answer);
            }
            frames.lock().expect("the frames").push(frame);
        }
    }
}
