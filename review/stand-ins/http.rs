//! A small HTTP/1.1 client and the parsing of heads, for the stand-ins of the cases.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line and fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A channel with the bytes that were read and not used yet.
pub struct Channel {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Channel {
    /// Connects within a second, as consumers do.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; an end of the channel is an error.
    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            Err(error) => Err(error),
        }
    }

    /// Reads a head.
    pub fn head(&mut self, deadline: Instant) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Head { first_line, fields });
            }
            self.fill(deadline)?;
        }
    }

    /// Reads this many bytes.
    pub fn take(&mut self, count: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self, deadline: Instant) -> io::Result<Option<Vec<u8>>> {
        let size = self.line(deadline)?;
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        let data = self.take(size, deadline)?;
        self.line(deadline)?;
        Ok((size > 0).then_some(data))
    }

    /// Reads the whole body that follows a head.
    pub fn body(&mut self, head: &Head, deadline: Instant) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk(deadline)? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let length = head.field("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.take(length, deadline)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Makes a call on a new channel and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> io::Result<(u16, String)> {
    let deadline = Instant::now() + wait;
    let mut channel = Channel::connect(address)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    channel.send(text.as_bytes())?;
    let head = channel.head(deadline)?;
    let body = channel.body(&head, deadline)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
