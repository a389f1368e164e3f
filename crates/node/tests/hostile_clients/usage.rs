//! What a running process holds: memory, bytes that have arrived and are unread, descriptors.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const BYTES_PER_MB: u64 = 1024 * 1024;
/// State of a listening socket in the kernel's table of connections.
const LISTEN: &str = "0A";

/// The most that a process held at any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Memory of the process and unread bytes together.
    pub total_mb: u64,
    /// Unread bytes.
    pub unread_mb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Watches a process until it is asked for the peak.
pub struct Watch {
    ending: Arc<AtomicBool>,
    thread: JoinHandle<Peak>,
}

impl Watch {
    /// Starts to watch a process whose sockets have the addresses for which `is_own` holds.
    pub fn start(process_id: u32, is_own: impl Fn(SocketAddrV4) -> bool + Send + 'static) -> Self {
        let ending = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&ending);
        let thread = thread::spawn(move || {
            let mut peak = Peak::default();
            while !ended.load(Ordering::SeqCst) {
                let unread_bytes = unread_bytes(&is_own);
                let total_mb = (resident_bytes(process_id) + unread_bytes) / BYTES_PER_MB;
                peak = Peak {
                    total_mb: peak.total_mb.max(total_mb),
                    unread_mb: peak.unread_mb.max(unread_bytes / BYTES_PER_MB),
                    descriptors: peak.descriptors.max(descriptors(process_id)),
                };
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { ending, thread }
    }

    /// Ends the watch and returns the peak.
    pub fn peak(self) -> Peak {
        self.ending.store(true, Ordering::SeqCst);
        self.thread.join().expect("the watch")
    }
}

/// Returns the memory of a process; 0 once it has ended.
fn resident_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.and_then(|text| text.trim().parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

fn descriptors(process_id: u32) -> u64 {
    let open = fs::read_dir(format!("/proc/{process_id}/fd"));
    open.map_or(0, |entries| entries.count() as u64)
}

/// Returns the bytes that have arrived on sockets with these local addresses, also on those that
/// are not accepted yet.
fn unread_bytes(is_own: &impl Fn(SocketAddrV4) -> bool) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let local = address(columns.next()?)?;
        let state = columns.nth(1)?;
        let (_, received) = columns.next()?.split_once(':')?;
        let bytes = u64::from_str_radix(received, 16).ok()?;
        (state != LISTEN && is_own(local)).then_some(bytes)
    });
    rows.sum()
}

fn address(text: &str) -> Option<SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    // The kernel prints the address as a number of the machine's byte order.
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    Some(SocketAddrV4::new(ip, u16::from_str_radix(port, 16).ok()?))
}

/// Returns the kernel's view of a process, for a report: its state and its processor time in ticks.
pub fn process_state(process_id: u32) -> String {
    let read = || fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let fields = |text: &str| {
        let fields: Vec<String> = text.split(' ').map(str::to_owned).collect();
        let field = |index: usize| fields.get(index).cloned().unwrap_or_default();
        format!("{} {}+{}", field(2), field(13), field(14))
    };
    let before = fields(&read());
    thread::sleep(Duration::from_secs(1));
    format!(
        "state and ticks {before}, a second later {}",
        fields(&read())
    )
}
