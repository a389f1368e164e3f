//! Proxy on the loopback interface that harms the connections through it.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What happens to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass later.
    Delay(Duration),
    /// Those to the target pass, those from it are held back.
    HoldAnswers,
    /// All are held back.
    Hold,
    /// Connections are closed.
    Reset,
}

/// Pause between looks at the mode while bytes are held back.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// A proxy before one target.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Starts a proxy before a target.
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
                    pump(&caller, &target, &mode, false);
                    pump(&target, &caller, &mode, true);
                }
            }
        });
        proxy
    }

    /// Changes what happens to bytes.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("the mode") = mode;
    }
}

/// Copies bytes one way until either side closes.
fn pump(from: &TcpStream, to: &TcpStream, mode: &Arc<Mutex<Mode>>, is_answer: bool) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let mode = Arc::clone(mode);
    let present = move || mode.lock().map_or(Mode::Reset, |mode| *mode);
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            let mut held = present();
            while held == Mode::Hold || (is_answer && held == Mode::HoldAnswers) {
                thread::sleep(HOLD_PAUSE);
                held = present();
            }
            match held {
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
