//! Many streams at once: how many are open together, how many end early, the node's
//! memory for each, and the delay of each chunk from the engine to the caller.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_node::dev::{MODEL, TEAM_KEY};
use serde_json::{Value, json};

use super::client::quantile;
use super::fleet::Fleet;

/// Tokens of each stream; they take ten seconds at the engine's interval.
const TOKEN_COUNT: usize = 20;
/// Time from the first start after which all streams are open and none has ended.
const OPEN_ALL_DURATION: Duration = Duration::from_secs(6);
/// Time between two starts, so that the listen backlog does not overflow.
const START_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait for the next data of a stream.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Stack of a reading thread; small, as each stream has a thread.
const STACK_BYTES: usize = 64 * 1024;

/// Measurements of all streams.
pub struct Streams {
    /// Streams that were open at once.
    pub held: usize,
    /// Streams that did not start or ended before their last event.
    pub incomplete: usize,
    /// Memory of the node for each open stream.
    pub bytes_per_stream: u64,
    pub chunk_p50_ms: f64,
    pub chunk_p99_ms: f64,
}

/// Opens `count` streams, reads them to their end, and measures the node's memory
/// while they are open.
pub fn measure(fleet: &Fleet, count: usize) -> Result<Streams, String> {
    let memory_before = fleet.node_memory_bytes()?;
    let open = AtomicUsize::new(0);
    let complete = AtomicUsize::new(0);
    let address = fleet.callers_address;
    let (held, memory_while_open, mut delays) = thread::scope(|scope| {
        let mut threads = Vec::with_capacity(count);
        for number in 0..count {
            let (open, complete) = (&open, &complete);
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            let thread =
                builder.spawn_scoped(scope, move || read_stream(address, number, open, complete));
            threads.push(thread);
            thread::sleep(START_INTERVAL);
        }
        thread::sleep(
            OPEN_ALL_DURATION.saturating_sub(START_INTERVAL * u32::try_from(count).unwrap_or(0)),
        );
        let held = open.load(Ordering::Relaxed);
        let memory_while_open = fleet.node_memory_bytes();
        let threads = threads.into_iter().flatten();
        let delays: Vec<f64> = threads.flat_map(|t| t.join().unwrap_or_default()).collect();
        (held, memory_while_open, delays)
    });
    delays.sort_by(f64::total_cmp);
    let growth_bytes = memory_while_open?.saturating_sub(memory_before);
    Ok(Streams {
        held,
        incomplete: count - complete.load(Ordering::Relaxed),
        bytes_per_stream: growth_bytes / u64::try_from(held.max(1)).unwrap_or(1),
        chunk_p50_ms: quantile(&delays, 0.5),
        chunk_p99_ms: quantile(&delays, 0.99),
    })
}

struct Stream {
    reader: BufReader<TcpStream>,
    delays_ms: Vec<f64>,
}

/// Reads one stream from its start to its end and returns the delays of its chunks in
/// milliseconds. `open` counts the streams in progress, `complete` those that ended
/// after all tokens.
fn read_stream(
    address: SocketAddr,
    number: usize,
    open: &AtomicUsize,
    complete: &AtomicUsize,
) -> Vec<f64> {
    let Ok(mut stream) = open_stream(address, number) else {
        return Vec::new();
    };
    open.fetch_add(1, Ordering::Relaxed);
    stream.finish(complete);
    open.fetch_sub(1, Ordering::Relaxed);
    stream.delays_ms
}

/// Sends the request and reads the first event.
fn open_stream(address: SocketAddr, number: usize) -> Result<Stream, String> {
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": format!("scene {number}")}],
        "max_tokens": TOKEN_COUNT,
        "stream": true,
    })
    .to_string();
    let mut socket = TcpStream::connect(address).map_err(|error| error.to_string())?;
    let timeout = socket.set_read_timeout(Some(READ_TIMEOUT));
    timeout.map_err(|error| error.to_string())?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {TEAM_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let sent = socket.write_all(head.as_bytes());
    sent.map_err(|error| error.to_string())?;
    let mut stream = Stream {
        reader: BufReader::with_capacity(1024, socket),
        delays_ms: Vec::with_capacity(TOKEN_COUNT),
    };
    while stream.delays_ms.is_empty() {
        if stream.read_line()? {
            return Err("the stream ended before its first event".to_owned());
        }
    }
    Ok(stream)
}

impl Stream {
    /// Reads one line, records its delay if it is a chunk, and returns whether it is
    /// the end event.
    fn read_line(&mut self) -> Result<bool, String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        if read.map_err(|error| error.to_string())? == 0 {
            return Err("the stream ended before its end event".to_owned());
        }
        let Some(data) = line.strip_prefix("data: ") else {
            return Ok(false);
        };
        if data.trim_end() == "[DONE]" {
            return Ok(true);
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if let Some(sent_us) = value["sent_unix_us"].as_u64() {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let since = now
                .unwrap_or_default()
                .saturating_sub(Duration::from_micros(sent_us));
            self.delays_ms.push(since.as_secs_f64() * 1000.0);
        }
        Ok(false)
    }

    /// Reads to the end and counts the stream if its end event came after all tokens.
    fn finish(&mut self, complete: &AtomicUsize) {
        while let Ok(ended) = self.read_line() {
            if !ended {
                continue;
            }
            // One more event than tokens: the last one carries the finish reason only.
            if self.delays_ms.len() == TOKEN_COUNT + 1 {
                complete.fetch_add(1, Ordering::Relaxed);
            }
            return;
        }
    }
}
