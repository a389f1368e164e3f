//! An engine that records orders and can close connections instead of answering.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Offers, orders and faults of one engine.
#[derive(Default)]
pub struct EngineState {
    pub offers: BTreeSet<String>,
    pub finished_orders: Vec<Value>,
    /// Number of orders that were received, finished or not.
    pub started_count: usize,
    /// Number of answers to `GET /orders`.
    pub report_count: usize,
    /// While true, no order finishes.
    pub hold_orders: bool,
    /// Number of orders whose answer is not sent after the order was executed.
    pub answers_to_lose: usize,
    /// How the engine answers orders.
    pub order_answer: EngineAnswer,
    /// How the engine answers `GET /orders`.
    pub report_answer: EngineAnswer,
}

/// How an engine answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineAnswer {
    #[default]
    Whole,
    /// The connection ends before the stated end of the body.
    Cut,
    /// The status is this one, with the body of a whole answer.
    Status(u16),
}

/// An engine that takes orders and no requests.
pub struct Engine {
    pub state: Arc<Mutex<EngineState>>,
}

impl Engine {
    pub fn start(name: &str, operators: SocketAddr, lose: usize) -> Self {
        Self::start_in("dev", name, operators, lose)
    }

    pub fn start_in(data_centre: &str, name: &str, operators: SocketAddr, lose: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let state = Arc::new(Mutex::new(EngineState {
            answers_to_lose: lose,
            ..EngineState::default()
        }));
        let server_state = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server_state = Arc::clone(&server_state);
                thread::spawn(move || serve(stream, &server_state));
            }
        });
        let record = json!({
            "name": name, "incarnation": 1, "address": address.to_string(),
            "data_centre": data_centre, "pool": "demo-chat", "kind": "engine", "offers": [],
            "capacity_tokens": 100_000, "capacity_requests": 64, "checks_fencing": true,
        });
        let heartbeat = crate::support::Heartbeat::start(operators, record);
        // Keeps the heartbeats running until the process ends.
        std::mem::forget(heartbeat);
        Self { state }
    }

    pub fn loads(&self) -> usize {
        let state = self.state.lock().expect("book");
        let loads = state
            .finished_orders
            .iter()
            .filter(|o| o["action"] == "load");
        loads.count()
    }

    pub fn reports(&self) -> usize {
        self.state.lock().expect("book").report_count
    }
}

fn serve(stream: TcpStream, state: &Mutex<EngineState>) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let (mut length, mut id) = (0, String::new());
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).unwrap_or(0) < 3 {
            break;
        }
        let (name, value) = header.trim().split_once(": ").unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "x-request-id" => value.clone_into(&mut id),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    let _ = reader.read_exact(&mut body);
    let is_order = line.starts_with("POST");
    if is_order {
        state.lock().expect("book").started_count += 1;
        while state.lock().expect("book").hold_orders {
            thread::sleep(Duration::from_millis(10));
        }
    }
    let mut state = state.lock().expect("book");
    let Some(mut text) = respond(&line, &body, &mut state) else {
        return;
    };
    let length = text.len();
    let kind = if is_order {
        state.order_answer
    } else {
        state.report_answer
    };
    drop(state);
    let status = match kind {
        EngineAnswer::Whole => 200,
        EngineAnswer::Cut => {
            text.truncate(length - 1);
            200
        }
        EngineAnswer::Status(status) => status,
    };
    let answer = format!(
        "HTTP/1.1 {status:03} Test\r\nConnection: close\r\nx-request-id: {id}\r\nContent-Length: {length}\r\n\r\n{text}"
    );
    let _ = reader.get_mut().write_all(answer.as_bytes());
}

/// Executes an order or reports the offers. Returns the answer, or `None` when none is
/// to be sent.
fn respond(line: &str, body: &[u8], state: &mut EngineState) -> Option<String> {
    if line.starts_with("GET /orders") {
        state.report_count += 1;
        let report = json!({"offers": state.offers, "role": "both"});
        return Some(report.to_string());
    }
    let order: Value = serde_json::from_slice(body).ok()?;
    if let (Some("load"), Some(offer)) = (order["action"].as_str(), order["offer"].as_str()) {
        state.offers.insert(offer.to_owned());
    }
    state.finished_orders.push(order);
    if state.answers_to_lose > 0 {
        state.answers_to_lose -= 1;
        return None;
    }
    Some(json!({"done": true}).to_string())
}
