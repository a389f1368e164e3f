//! Requests over a connection on which the target writes what is not expected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bamboospur_http1::client::ClientConnection;
use bamboospur_types::BufferBudget;
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
    let exchange = async {
        let connected = ClientConnection::connect(
            address,
            CONNECT_TIMEOUT,
            PEER_TIMEOUT,
            &BufferBudget::new(usize::MAX),
        )
        .await;
        let mut connection = connected.expect("a connection");
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
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let ended = runtime
        .expect("a runtime")
        .block_on(async { timeout(TEST_TIMEOUT, exchange).await });
    ended.expect("the request is answered in time");
}
