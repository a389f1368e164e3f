//! Single clients of a router that has nothing else to do.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{Behaviour, Deployment, Target};
use super::roles::{CALLER_HEAD, LARGE_BODY_BYTES};
use super::{NETWORK, run_alone};

/// Longest time for which a client waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two bytes of a client that sends slowly.
const DRIP_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a client sends slowly, far longer than it says it waits.
const DRIP_TIME: Duration = Duration::from_secs(15);

/// Returns the status of the answer to what `send` writes on a connection to the router.
fn status(send: impl FnOnce(&mut TcpStream)) -> Option<u16> {
    let _alone = run_alone();
    let mut deployment = Deployment::start(NETWORK);
    deployment.configure("k1");
    let target = Target::start(deployment.host(21), "t1", Behaviour::AnswerEarly);
    deployment.report("t1", &target, "s", "ready", 1);
    deployment.wait_ready();
    let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout");
    send(&mut stream);
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).ok()?;
    std::str::from_utf8(&status_line[9..]).ok()?.parse().ok()
}

/// Writes as much as the router takes; it may answer before the end.
fn write(stream: &mut TcpStream, parts: impl Iterator<Item = String>) {
    for part in parts {
        if stream.write_all(part.as_bytes()).is_err() {
            return;
        }
    }
}

fn chunked_head() -> String {
    format!("{CALLER_HEAD}Transfer-Encoding: chunked\r\n\r\n")
}

#[test]
fn a_large_body_in_chunks_of_one_byte_is_served_in_calm() {
    const CHUNKS_PER_PART: usize = 16 * 1024;
    let parts = LARGE_BODY_BYTES / CHUNKS_PER_PART;
    let part = "1\r\nx\r\n".repeat(CHUNKS_PER_PART);
    let answer = status(|stream| {
        write(stream, [chunked_head()].into_iter());
        write(stream, (0..parts).map(|_| part.clone()));
        write(stream, ["0\r\n\r\n".to_owned()].into_iter());
    });
    assert_eq!(answer, Some(200));
}

#[test]
fn a_large_body_with_a_length_is_served_in_calm() {
    let answer = status(|stream| {
        let head = format!("{CALLER_HEAD}Content-Length: {LARGE_BODY_BYTES}\r\n\r\n");
        write(stream, [head, "x".repeat(LARGE_BODY_BYTES)].into_iter());
    });
    assert_eq!(answer, Some(200));
}

/// The framing of a body took any number of bytes.
#[test]
fn a_body_with_endless_chunk_extensions_is_too_large() {
    const EXTENSION_BYTES: usize = 200;
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(EXTENSION_BYTES));
    let part = chunk.repeat(64);
    // Ten times as many bytes as the largest body.
    let parts = 10 * LARGE_BODY_BYTES / part.len();
    let answer = status(|stream| {
        write(stream, [chunked_head()].into_iter());
        write(stream, (0..parts).map(|_| part.clone()));
        write(stream, ["0\r\n\r\n".to_owned()].into_iter());
    });
    assert_eq!(answer, Some(413));
}

/// The time for a body started anew with each byte.
#[test]
fn a_body_that_drips_is_rejected_when_its_caller_waits_no_longer() {
    let answer = status(|stream| {
        let head =
            format!("{CALLER_HEAD}X-Bamboospur-Deadline-Ms: 1500\r\nContent-Length: 9999\r\n\r\n");
        write(stream, [head].into_iter());
        stream
            .set_read_timeout(Some(DRIP_INTERVAL))
            .expect("a timeout");
        let end = Instant::now() + DRIP_TIME;
        while Instant::now() < end {
            thread::sleep(DRIP_INTERVAL);
            let answered = stream
                .peek(&mut [0])
                .map_or_else(|error| error.kind() != ErrorKind::WouldBlock, |_| true);
            if answered || stream.write_all(b"x").is_err() {
                return;
            }
        }
    });
    assert_eq!(answer, Some(408));
}
