//! Requests over a connection on which the target writes what is not expected.

use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::mpsc;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use bamboospur_http1::client::{ClientConnection, ClientError};
use bamboospur_types::BufferBudget;
use socket2::SockRef;
use tokio::runtime::Builder;
use tokio::time::timeout;

/// Longer than what both ends of a connection buffer.
const BODY_BYTES: usize = 32 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PEER_TIMEOUT: Duration = Duration::from_secs(10);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a target that serves one connection.
fn start(serve: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        serve(stream);
    });
    address
}

/// Runs the requests of a test on one thread.
fn run<T>(requests: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    let ended = runtime
        .expect("a runtime")
        .block_on(async { timeout(TEST_TIMEOUT, requests).await });
    ended.expect("the request is answered in time")
}

async fn connect(address: SocketAddr) -> ClientConnection {
    let budget = BufferBudget::new(usize::MAX);
    let connected = ClientConnection::connect(address, CONNECT_TIMEOUT, PEER_TIMEOUT, &budget);
    connected.await.expect("a connection")
}

/// Guards against a request whose body is sent no further after a late answer to an earlier
/// request, on a connection that then takes the next request for the rest of the body.
#[test]
fn a_request_is_sent_to_its_end_after_a_late_answer() {
    let address = start(|mut stream| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            .expect("the late answer is sent");
        thread::sleep(Duration::from_millis(100));
        let mut request = vec![0; BODY_BYTES];
        stream.read_exact(&mut request).expect("the whole request");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
            .expect("the answer is sent");
    });
    run(async {
        let mut connection = connect(address).await;
        let request = vec![b'x'; BODY_BYTES].into();
        let late = connection.exchange(request, "POST").await;
        assert_eq!(late.expect("the late answer").status, 200);
        assert!(connection.skip_body(BODY_BYTES).await.expect("its body"));
        let written_bytes = connection.written_bytes();
        assert!(
            written_bytes < BODY_BYTES,
            "the connection buffers too much"
        );
        connection.next_head("POST").await.expect("the answer");
        let body = connection.next_chunk().await.expect("its body");
        assert_eq!(body.as_deref(), Some(&b"own"[..]));
        assert!(connection.can_keep_alive());
    });
}

/// How a target ends a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    /// It closes its side, and resets the connection because the request goes on.
    CloseThenReset,
}

/// Starts a target that does not read, writes `text` on a signal and ends the connection. The
/// receiver tells when it has done so.
fn start_early(text: &'static str, end: End) -> (SocketAddr, mpsc::Sender<()>, mpsc::Receiver<()>) {
    let (signal, signalled) = mpsc::channel();
    let (done, ended) = mpsc::channel();
    let address = start(move |mut stream| {
        signalled.recv().expect("the signal");
        stream
            .write_all(text.as_bytes())
            .expect("the answer is sent");
        if end == End::CloseThenReset {
            stream
                .shutdown(Shutdown::Write)
                .expect("its side is closed");
        }
        let no_linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        no_linger.expect("a socket option");
        drop(stream);
        done.send(()).expect("the test waits");
    });
    (address, signal, ended)
}

/// Sends a request whose body the target does not read, while `text` and the end of the
/// connection arrive at once: the write that fails comes before the first read. Returns the body
/// of the answer after `skipped` ones.
fn early_answer(text: &'static str, end: End, skipped: usize) -> Result<Vec<u8>, ClientError> {
    let (address, signal, ended) = start_early(text, end);
    run(async {
        let mut connection = connect(address).await;
        let request = vec![b'x'; BODY_BYTES].into();
        {
            let mut exchange = pin!(connection.exchange(request, "POST"));
            let waits = poll_fn(|cx| Poll::Ready(exchange.as_mut().poll(cx).is_pending()));
            assert!(waits.await, "the target has not answered");
            // The thread is stopped as a suspended process is.
            signal.send(()).expect("the target waits");
            ended.recv().expect("the target ends the connection");
            exchange.await?;
        }
        for _ in 0..skipped {
            connection.skip_body(BODY_BYTES).await?;
            connection.next_head("POST").await?;
        }
        let mut body = Vec::new();
        while let Some(part) = connection.next_chunk().await? {
            body.extend_from_slice(&part);
        }
        assert!(!connection.can_keep_alive());
        Ok(body)
    })
}

/// Guards against a part of a body that looks whole: the failed write took the error of the
/// socket, and the next read looked like a regular end.
#[test]
fn an_early_answer_without_a_length_that_is_reset_is_not_whole() {
    let late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    let own = "HTTP/1.1 200 OK\r\n\r\npart";
    for (text, skipped) in [
        (own.to_owned(), 0),
        (format!("{late}{own}"), 1),
        (format!("HTTP/1.1 103 Early Hints\r\n\r\n{own}"), 0),
    ] {
        let body = early_answer(text.clone().leak(), End::Reset, skipped);
        let error = body.expect_err(&text);
        assert!(error.is_connection_end(), "{text:?}: {error:?}");
    }
}

/// A target that closes its side has shown the end of its answer.
#[test]
fn an_early_answer_without_a_length_that_is_closed_is_whole() {
    let text = "HTTP/1.1 200 OK\r\n\r\nwhole";
    let body = early_answer(text, End::CloseThenReset, 0).expect("the answer");
    assert_eq!(body, b"whole");
}

#[test]
fn an_early_answer_that_shows_its_end_is_whole_when_it_is_reset() {
    for text in [
        "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ] {
        let body = early_answer(text, End::Reset, 0).expect("the answer");
        assert_eq!(body, b"whole", "{text:?}");
    }
}

#[test]
fn an_early_answer_that_is_reset_before_its_stated_end_is_not_whole() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
    ] {
        let error = early_answer(text, End::Reset, 0).expect_err(text);
        assert!(error.is_connection_end(), "{text:?}: {error:?}");
    }
}
