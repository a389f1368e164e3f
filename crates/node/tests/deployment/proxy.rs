//! Proxy on the loopback interface that delays, holds back or breaks connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the proxy does with the bytes of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Forwards bytes to the target, and holds back those from the target.
    HoldAnswers,
    /// Holds back the bytes of both directions.
    Hold,
    /// Closes a connection as soon as bytes arrive on it.
    Reset,
}

/// Time between checks of the mode while bytes are held back.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Proxy in front of one target.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Starts a proxy in front of a target, in the mode `Pass`.
    pub fn start(host: Ipv4Addr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            mode: Arc::new(Mutex::new(Mode::Pass)),
        };
        let mode = Arc::clone(&proxy.mode);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                if let Ok(target) = TcpStream::connect(target) {
                    forward(&caller, &target, &mode, false);
                    forward(&target, &caller, &mode, true);
                }
            }
        });
        proxy
    }

    /// Sets the mode, also for open connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("the mode") = mode;
    }
}

/// Forwards bytes in one direction until either side closes.
fn forward(from: &TcpStream, to: &TcpStream, mode: &Arc<Mutex<Mode>>, is_answer: bool) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let mode = Arc::clone(mode);
    let current_mode = move || mode.lock().map_or(Mode::Reset, |mode| *mode);
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            let mut mode_now = current_mode();
            while mode_now == Mode::Hold || (is_answer && mode_now == Mode::HoldAnswers) {
                thread::sleep(HOLD_POLL_INTERVAL);
                mode_now = current_mode();
            }
            match mode_now {
                Mode::Delay(pause) => thread::sleep(pause),
                Mode::Reset => break,
                Mode::Pass | Mode::Hold | Mode::HoldAnswers => {}
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // Either side may have closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
