//! Fake HTTP servers that apply changes to real settings, and a function that runs the
//! binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::SystemTime;

use bamboospur_control::operator::{
    ApplyRequest, ChangeRequest, HistoryResponse, InForceResponse, LaggingInstance, ResponseMeta,
    RollbackRequest, change_response, read_tree,
};
use bamboospur_control::{Reply, Response};
use bamboospur_settings::{AuditQuery, Change, Settings};
use bamboospur_types::ResultCode;
use serde_json::json;

pub const TOKEN: &str = "token-that-is-never-printed";

/// Turns the body of an answer into the bytes of a broken answer.
pub type Broken = Box<dyn Fn(&str) -> String + Send>;

/// State of the fake control group, shared by its servers.
#[derive(Default)]
pub struct FakeGroup {
    pub settings: Settings,
    /// Number of further changes that are made without an answer.
    pub answers_to_lose: usize,
    /// Number of further requests for the state of a revision that are answered with
    /// `NotInForceYet`.
    pub not_in_force_answers: usize,
    /// Whether the servers know no leader.
    pub leaderless: bool,
    /// What is sent in place of whole answers.
    pub broken: Option<Broken>,
    /// Number of requests for a change, including those whose answer is lost.
    pub changes_received: usize,
}

pub type SharedGroup = Arc<Mutex<FakeGroup>>;

/// Starts a server of the group and returns its address.
pub fn start_server(group: &SharedGroup) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let group = Arc::clone(group);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            handle_connection(stream, &group);
        }
    });
    address
}

fn handle_connection(stream: TcpStream, group: &SharedGroup) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let (mut length, mut authorized) = (0, false);
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).unwrap_or(0) < 3 {
            break;
        }
        let (name, value) = header.trim().split_once(": ").unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "authorization" => authorized = value == format!("Bearer {TOKEN}"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    let _ = reader.read_exact(&mut body);
    let target = line.split(' ').nth(1).unwrap_or_default();
    let text = if authorized {
        handle_request(target, &body, &mut group.lock().expect("no panic"))
    } else {
        Some(error_body(ResultCode::Unauthenticated))
    };
    let Some(text) = text else { return };
    let whole = || {
        let length = text.len();
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{text}")
    };
    let group = group.lock().expect("no panic");
    let answer = group
        .broken
        .as_ref()
        .map_or_else(whole, |broken| broken(&text));
    let _ = reader.get_mut().write_all(answer.as_bytes());
}

fn error_body(code: ResultCode) -> String {
    json!(ResponseMeta::failed(code, code.to_string())).to_string()
}

/// Returns the body of the answer, or `None` when the connection is to be closed without an
/// answer.
fn handle_request(target: &str, body: &[u8], group: &mut FakeGroup) -> Option<String> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.replace("%22", "\""))
    };
    if group.leaderless {
        return Some(error_body(ResultCode::NoLeader));
    }
    let text = match path {
        "/control/tree" => {
            let secrets = field("secrets").as_deref() == Some("true");
            let path = field("path").unwrap_or_default();
            json!(read_tree(group.settings.tree(), &path, secrets)).to_string()
        }
        "/control/history" => {
            let entries = group.settings.audit(&AuditQuery::default());
            json!(HistoryResponse {
                head: ResponseMeta::ok(),
                entries
            })
            .to_string()
        }
        "/control/in-force" => in_force_response(group, field("revision")?.parse().ok()?),
        _ => return handle_change(path, body, group),
    };
    Some(text)
}

fn in_force_response(group: &mut FakeGroup, revision: u64) -> String {
    let late = group.not_in_force_answers > 0;
    group.not_in_force_answers = group.not_in_force_answers.saturating_sub(1);
    let router = |name: &str, cut_off| LaggingInstance {
        instance: name.to_owned(),
        revision: revision - 1,
        silent_ms: 10,
        cut_off,
    };
    let mut lagging = vec![router("router-far", true)];
    lagging.extend(late.then(|| router("router-slow", false)));
    let head = if late {
        ResponseMeta::failed(ResultCode::NotInForceYet, "1 router lags")
    } else {
        ResponseMeta::ok()
    };
    let in_force = 5 - u64::from(late);
    json!(InForceResponse {
        head,
        revision,
        live: 5,
        in_force,
        lagging
    })
    .to_string()
}

fn handle_change(path: &str, body: &[u8], group: &mut FakeGroup) -> Option<String> {
    let change: Change = match path {
        "/control/change" => {
            let request: ChangeRequest = serde_json::from_slice(body).ok()?;
            request.into_change("ada").ok()?
        }
        "/control/apply" => {
            let request: ApplyRequest = serde_json::from_slice(body).ok()?;
            request.into_change("ada").ok()?
        }
        "/control/rollback" => {
            let request: RollbackRequest = serde_json::from_slice(body).ok()?;
            request.into_change("ada").ok()?
        }
        _ => return Some(error_body(ResultCode::UnknownPath)),
    };
    group.changes_received += 1;
    let answer = group.settings.apply(&change, SystemTime::UNIX_EPOCH);
    if group.answers_to_lose > 0 {
        group.answers_to_lose -= 1;
        return None;
    }
    let answer = change_response(&change.id, &Ok(Response::Applied(Reply::Change(answer))));
    Some(json!(answer).to_string())
}

/// Runs the binary with the token and checks that it does not print the token.
pub fn run(servers: &[&str], arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboospurctl"));
    for server in servers {
        command.args(["--server", server]);
    }
    command.args(["--timeout-ms", "600"]).args(arguments);
    command.env("BAMBOOSPUR_TOKEN", TOKEN);
    let output = command.output().expect("the binary runs");
    Run::from(output)
}

/// Exit code and output of a run of the binary.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        let run = Self {
            code: output.status.code().expect("no signal"),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        };
        let printed = format!("{}{}", run.out, run.err);
        assert!(!printed.contains(TOKEN), "the token was printed: {printed}");
        run
    }
}
