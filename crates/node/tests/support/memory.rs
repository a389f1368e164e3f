//! Memory of running processes, and targets that send bytes without end.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Returns the most memory that a process has used so far, in MB.
pub fn peak_mb(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).expect("the status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
    let kilobytes: u64 = kilobytes
        .and_then(|text| text.trim().parse().ok())
        .expect("a size");
    kilobytes / 1024
}

/// Starts a target that answers each request with a head, made from that of the request, and a body
/// that does not end.
pub fn start_endless_target(host: IpAddr, head: fn(&str) -> String) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_without_end(&stream, head));
        }
    });
    address
}

fn answer_without_end(mut stream: &TcpStream, head: fn(&str) -> String) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|&count| count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
    }
    stream.write_all(head(&text).as_bytes()).ok()?;
    let part = vec![b'x'; 64 * 1024];
    loop {
        stream.write_all(&part).ok()?;
    }
}

/// Returns the value of a header field of a request.
pub fn field(head: &str, wanted: &str) -> String {
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut found = fields.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
    found
        .next()
        .map_or_else(String::new, |(_, value)| value.to_owned())
}
