//! Callers of a node. They send well-formed requests or arbitrary bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// HTTP answer as a caller received it. Names of headers are in lower case.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    /// Returns the value of a header, empty when the answer lacks the header.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("bamboospur-outcome")
    }

    pub fn code(&self) -> u16 {
        self.header("bamboospur-code").parse().unwrap_or(u16::MAX)
    }

    /// Checks the outcome and the number of the result code.
    #[track_caller]
    pub fn assert_outcome(&self, outcome: &str, code: bamboospur_types::ResultCode) -> &Self {
        let seen = (self.outcome(), self.code());
        assert_eq!(seen, (outcome, code.number()), "{self:?}");
        self
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or(serde_json::Value::Null)
    }

    /// Returns the numbers of the events in a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.body.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("event number")).collect()
    }

    pub fn has_end_event(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }
}

/// A caller that sends the key of the development team unless a test sets another one.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    headers: Vec<(String, String)>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            headers: vec![("authorization".to_owned(), "Bearer demo".to_owned())],
        }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(field, _)| field != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the idempotency key.
    pub fn with_key(self, key: &str) -> Self {
        self.with_header("idempotency-key", key)
    }

    pub fn with_deadline_ms(self, millis: u64) -> Self {
        self.with_header("bamboospur-deadline-ms", &millis.to_string())
    }

    pub fn send_chat(&self) -> Answer {
        self.post("/v1/chat/completions", &chat_body("Hello", false))
    }

    pub fn stream_chat(&self) -> Answer {
        self.post("/v1/chat/completions", &chat_body("Hello", true))
    }

    /// Sends a request to the records pool that must run at most once.
    pub fn post_record(&self, body: &str) -> Answer {
        self.post("/services/records/entries", body)
    }

    pub fn get(&self, path: &str) -> Answer {
        let request = self.request_head("GET", path) + "\r\n";
        self.send_raw(request.as_bytes())
    }

    pub fn post(&self, path: &str, body: &str) -> Answer {
        self.send_raw(self.post_request(path, body).as_bytes())
    }

    /// Returns the text of a request with a body.
    pub fn post_request(&self, path: &str, body: &str) -> String {
        let length = body.len();
        self.request_head("POST", path) + &format!("content-length: {length}\r\n\r\n{body}")
    }

    /// Returns the request line and headers, without the empty line after them.
    pub fn request_head(&self, method: &str, path: &str) -> String {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: test\r\n");
        for (name, value) in &self.headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        head
    }

    /// Opens a connection, sends bytes on it and returns it.
    pub fn open(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("connect");
        let limit = Some(Duration::from_secs(30));
        stream.set_read_timeout(limit).expect("set the time-out");
        // The node may answer and close the connection before it has read everything.
        let _ = stream.write_all(bytes);
        stream
    }

    /// Sends bytes on a new connection and reads the answer.
    pub fn send_raw(&self, bytes: &[u8]) -> Answer {
        read_answer(&mut self.open(bytes))
    }
}

pub fn chat_body(content: &str, stream: bool) -> String {
    format!(
        "{{\"model\":\"demo-chat\",\"stream\":{stream},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{content}\"}}]}}"
    )
}

/// Returns the body of a request for a stream that continues a chat with these messages.
pub fn stream_body(messages: &[&str]) -> String {
    let messages: Vec<String> = messages
        .iter()
        .map(|content| format!("{{\"role\":\"user\",\"content\":\"{content}\"}}"))
        .collect();
    let messages = messages.join(",");
    format!("{{\"model\":\"demo-chat\",\"stream\":true,\"messages\":[{messages}]}}")
}

/// Reads one answer up to the end that its framing gives. Interim answers with
/// status 100 are skipped; the status is 0 when the connection ends before a status.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let head = read_head(stream);
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default();
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let mut answer = Answer {
        status: status.unwrap_or(0),
        headers,
        body: String::new(),
    };
    if answer.status == 100 {
        return read_answer(stream);
    }
    let length = answer.header("content-length").parse().unwrap_or(0);
    let body = if answer.header("transfer-encoding") == "chunked" {
        read_chunks(stream)
    } else {
        read_bytes(stream, length)
    };
    answer.body = String::from_utf8(body).expect("UTF-8 body");
    answer
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = read_bytes(stream, 1);
        if byte.is_empty() {
            break;
        }
        head.extend(byte);
    }
    String::from_utf8(head).expect("ASCII head")
}

fn read_chunks(stream: &mut TcpStream) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut size = Vec::new();
        while !size.ends_with(b"\r\n") {
            let byte = read_bytes(stream, 1);
            assert!(!byte.is_empty(), "the stream has no last chunk");
            size.extend(byte);
        }
        let text = String::from_utf8(size).expect("chunk size");
        let size = usize::from_str_radix(text.trim(), 16).expect("chunk size");
        let mut chunk = read_bytes(stream, size + 2);
        assert_eq!(chunk.len(), size + 2, "a chunk is cut short");
        if size == 0 {
            return body;
        }
        chunk.truncate(size);
        body.extend(chunk);
    }
}

/// Reads `count` bytes, or fewer when the connection ends or a read fails.
fn read_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    let mut filled = 0;
    while filled < count {
        match stream.read(&mut bytes[filled..]) {
            Ok(0) | Err(_) => break,
            Ok(read) => filled += read,
        }
    }
    bytes.truncate(filled);
    bytes
}
