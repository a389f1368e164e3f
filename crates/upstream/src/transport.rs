//! TCP transport for `ureq` that records whether any byte was sent and that another
//! thread can shut down.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Error, Timeout};

use crate::current;
use crate::state::CallState;

/// Longest time that sent data stays unacknowledged before the connection breaks.
///
/// Together with keep-alive probes this detects within 5 s that the network path lost
/// its state for the connection, also while the router only waits for a response.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;

/// Most bytes that arrive before the head of a response is complete: informational responses,
/// the head, and what comes with it.
const MAX_BYTES_BEFORE_HEAD: usize = 128 * 1024;

/// Opens TCP connections without TLS to targets.
#[derive(Debug)]
pub struct TargetConnector {
    pub connect_timeout: Duration,
}

impl Connector<()> for TargetConnector {
    type Out = TargetTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<TargetTransport>, Error> {
        let address = details.addrs.first().ok_or(Error::HostNotFound)?;
        let stream = open(*address, self.connect_timeout)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(TargetTransport {
            stream: Arc::new(stream),
            buffers,
            uses: 0,
            call: None,
            read_timeout: None,
            write_timeout: None,
        }))
    }
}

fn open(address: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, Error> {
    let now = Instant::now();
    let left = match current::call() {
        Some(call) => call.next_timeout(now).min(connect_timeout),
        None => connect_timeout,
    };
    if left.is_zero() {
        if let Some(call) = current::call() {
            call.record_timeout(now);
        }
        return Err(Error::Timeout(Timeout::Connect));
    }
    let stream = TcpStream::connect_timeout(&address, left)?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}

/// Connection to a target.
pub struct TargetTransport {
    stream: Arc<TcpStream>,
    buffers: LazyBuffers,
    /// Calls made on the connection, including the current one.
    uses: u64,
    call: Option<Arc<CallState>>,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

impl TargetTransport {
    /// Assigns the connection to the current call of this thread, and counts the call
    /// when it is a new one.
    fn attach_current_call(&mut self) -> Result<Arc<CallState>, Error> {
        let Some(call) = current::call() else {
            return Err(io::Error::other("no call is in progress on this thread").into());
        };
        let same = self.call.as_ref().is_some_and(|c| Arc::ptr_eq(c, &call));
        if !same {
            self.uses += 1;
            self.call = Some(Arc::clone(&call));
        }
        Ok(call)
    }
}

impl Transport for TargetTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _timeout: NextTimeout) -> Result<(), Error> {
        let call = self.attach_current_call()?;
        call.record_send(&self.stream, self.uses > 1);
        let wait = next_wait(&call, Timeout::SendBody)?;
        if self.write_timeout != Some(wait) {
            self.stream.set_write_timeout(Some(wait))?;
            self.write_timeout = Some(wait);
        }
        let output = &self.buffers.output()[..amount];
        let result = (&*self.stream).write_all(output);
        result.map_err(|error| io_error(&call, error, Timeout::SendBody))
    }

    fn await_input(&mut self, _timeout: NextTimeout) -> Result<bool, Error> {
        let call = self.attach_current_call()?;
        let wait = next_wait(&call, Timeout::RecvBody)?;
        if self.read_timeout != Some(wait) {
            self.stream.set_read_timeout(Some(wait))?;
            self.read_timeout = Some(wait);
        }
        let buffer = self.buffers.input_append_buf();
        let amount = read(&self.stream, buffer)
            .map_err(|error| io_error(&call, error, Timeout::RecvBody))?;
        let head_bytes = call.count_received(amount);
        if head_bytes > MAX_BYTES_BEFORE_HEAD {
            return Err(Error::LargeResponseHeader(
                head_bytes,
                MAX_BYTES_BEFORE_HEAD,
            ));
        }
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        let reusable = self.call.as_ref().is_none_or(|call| call.is_reusable());
        let has_no_rest = self.buffers.input().is_empty();
        reusable && has_no_rest && is_open_and_idle(&self.stream).unwrap_or(false)
    }
}

impl fmt::Debug for TargetTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetTransport")
            .field("peer", &self.stream.peer_addr().ok())
            .field("uses", &self.uses)
            .finish_non_exhaustive()
    }
}

fn next_wait(call: &CallState, step: Timeout) -> Result<Duration, Error> {
    let now = Instant::now();
    let wait = call.next_timeout(now);
    if wait.is_zero() {
        call.record_timeout(now);
        return Err(Error::Timeout(step));
    }
    Ok(wait)
}

fn read(mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn io_error(call: &CallState, error: io::Error, step: Timeout) -> Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            call.record_timeout(Instant::now());
            Error::Timeout(step)
        }
        _ => Error::Io(error),
    }
}

/// Returns whether an idle connection is open and has no unread bytes.
fn is_open_and_idle(mut stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let result = stream.read(&mut [0]);
    stream.set_nonblocking(false)?;
    match result {
        Err(error) => Ok(error.kind() == io::ErrorKind::WouldBlock),
        Ok(_) => Ok(false),
    }
}
