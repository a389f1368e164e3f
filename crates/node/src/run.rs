//! Start and graceful shutdown of a node.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_agreement::ReplicaSettings;
use bamboospur_control::{Member, MemberSettings};
use bamboospur_membership::{InstanceRecord, MembershipSettings, Seed};
use bamboospur_settings::KeyHash;
use bamboospur_types::{BufferBudget, mix64, stable_id};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::actors::{ControlStart, FormationStart, MembersStart, OrdersThread};
use crate::dev::{self, StandIns};
use crate::disk;
use crate::edge::{HttpServer, HttpServerSettings, IncomingRequest};
use crate::essential;
use crate::mailbox::{self, Mailbox, MainLoopMessage};
use crate::mainloop::{self, LoopStart};
use crate::operators;
use crate::peers::{ControlAddress, FormationState, Peers, Traffic};
use crate::request::{self, Node};
use crate::secret::Secret;
use crate::settings::NodeSettings;

/// Requests accepted beyond the limit on requests in progress, so that the excess
/// requests can be answered with a refusal.
const EXTRA_REFUSED_REQUESTS: usize = 64;
const MAX_OPERATOR_CONNECTIONS: usize = 1024;
const MAX_OPERATOR_REQUESTS: usize = 512;
/// Time between reports of counters and traffic to the metrics server.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Time for the last messages to other instances to be sent before the links close.
const LEAVE_WAIT: Duration = Duration::from_millis(200);
/// Time between checks of the requests in progress during shutdown, and between
/// closing the links and ending the main loop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a node until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a message for the operator when the node cannot start.
pub fn run(settings: NodeSettings) -> Result<(), String> {
    let (mailbox, inbox) = mailbox::open();
    let target_token = settings.target_token_file.as_deref().map(Secret::read);
    let target_token = target_token.transpose()?;
    let operator_token = settings.operator_token_file.as_deref().map(Secret::read);
    let operator_token = match operator_token.transpose()? {
        None if settings.dev => Some(KeyHash::from_secret(dev::OPERATOR_TOKEN)),
        secret => secret.map(|secret| KeyHash::from_secret(secret.reveal())),
    };
    let start = loop_start(&settings, &mailbox)?;
    let buffers = BufferBudget::new(settings.limits.buffer_bytes);
    let mut node = Node::new(settings, mailbox.clone(), buffers);
    node.set_heartbeat_interval(start.members.settings.heartbeat_period);
    node.set_target_token(
        target_token
            .as_ref()
            .map(|token| KeyHash::from_secret(token.reveal())),
    );
    node.set_operator_token(operator_token);
    let node = Arc::new(node);
    let edges = Edges::start(&node)?;
    report_counters(&node, start.peers.counters());
    let standins = start_standins(&node, &edges, target_token.as_ref())?;
    let signalled_node = Arc::clone(&node);
    let signals = Signals::new([SIGTERM, SIGINT]);
    let mut signals = signals.map_err(|error| format!("signals cannot be caught: {error}"))?;
    let stopper = move || {
        if signals.forever().next().is_some() {
            shut_down(&signalled_node, &edges);
            // The stand-ins deregister through the operators' port, which must
            // still be open.
            drop(standins);
            signalled_node.mailbox.send(MainLoopMessage::Leave);
            edges.operators.close();
            // Gives the leadership transfer and the leave messages time to be sent.
            thread::sleep(LEAVE_WAIT);
            signalled_node.mailbox.send(MainLoopMessage::CloseLinks);
            thread::sleep(POLL_INTERVAL);
            signalled_node.mailbox.send(MainLoopMessage::Stop);
        }
    };
    essential::spawn("signals", stopper).map_err(|error| format!("no thread: {error}"))?;
    mainloop::run(start, mailbox, &inbox);
    info!("the node has ended");
    if essential::has_failed() {
        return Err("a part of the node has ended; see the log, and start the node again".into());
    }
    Ok(())
}

/// Periodically reports the actors' counters and the traffic with other instances
/// to the metrics server.
fn report_counters(node: &Arc<Node>, traffic: Arc<Traffic>) {
    if node.settings.statsd.is_none() {
        return;
    }
    let node = Arc::clone(node);
    thread::spawn(move || {
        loop {
            thread::sleep(REPORT_PERIOD);
            let parts = node
                .mailbox
                .request(MainLoopMessage::Status)
                .unwrap_or_default();
            for (name, value) in &parts.counters {
                node.metrics.gauge(name, *value);
            }
            let status = traffic.status(0);
            for (kind, count) in status.udp.iter().chain(&status.tcp) {
                let metrics = &node.metrics;
                metrics.gauge_with_kind("peer_sent_bytes", kind, count.sent_bytes);
                metrics.gauge_with_kind("peer_received_bytes", kind, count.received_bytes);
            }
        }
    });
}

struct Edges {
    callers: HttpServer,
    operators: HttpServer,
}

impl Edges {
    fn start(node: &Arc<Node>) -> Result<Self, String> {
        let limits = node.settings.limits;
        let addresses = node.settings.addresses;
        let serving = Arc::clone(node);
        let callers = HttpServerSettings {
            address: addresses.callers,
            connections: limits.connections,
            requests: limits.requests + EXTRA_REFUSED_REQUESTS,
            receive_timeout: limits.head_timeout,
            send_timeout: limits.caller_stall,
        };
        let buffers = node.buffers.clone();
        let serve = move |incoming| serve_caller(&serving, incoming);
        let checking = Arc::clone(node);
        let check = move |incoming: &IncomingRequest| request::plan_body(&checking, incoming);
        let callers = HttpServer::start(callers, buffers.clone(), check, serve)
            .map_err(|error| listen_error("callers", addresses.callers, &error))?;
        let serving = Arc::clone(node);
        let operators = HttpServerSettings {
            address: addresses.operators,
            connections: MAX_OPERATOR_CONNECTIONS,
            requests: MAX_OPERATOR_REQUESTS,
            receive_timeout: limits.head_timeout,
            send_timeout: limits.caller_stall,
        };
        let checking = Arc::clone(node);
        let check = move |incoming: &IncomingRequest| operators::plan_body(&checking, incoming);
        let operators = HttpServer::start(operators, buffers, check, move |incoming| {
            operators::handle(&serving, incoming);
        })
        .map_err(|error| listen_error("operators", addresses.operators, &error))?;
        info!(callers = %callers.address(), operators = %operators.address(), "listening");
        Ok(Self { callers, operators })
    }
}

fn listen_error(port: &str, address: std::net::SocketAddr, error: &io::Error) -> String {
    format!("cannot listen on {address}: {error}; choose another addresses.{port} or --{port}")
}

fn serve_caller(node: &Arc<Node>, incoming: IncomingRequest) {
    if operators::is_health_path(incoming.path()) {
        operators::handle(node, incoming);
        return;
    }
    request::handle(node, incoming);
}

fn start_standins(
    node: &Node,
    edges: &Edges,
    target_token: Option<&Secret>,
) -> Result<Option<StandIns>, String> {
    if !node.settings.dev {
        return Ok(None);
    }
    let operators = edges.operators.address();
    let standins = StandIns::start(
        node.settings.standins,
        operators,
        target_token.map(Secret::reveal),
    )?;
    println!("{}", dev::examples(edges.callers.address(), operators));
    Ok(Some(standins))
}

fn loop_start(settings: &NodeSettings, mailbox: &Mailbox) -> Result<LoopStart, String> {
    let own = stable_id(&settings.name);
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::SystemTime::UNIX_EPOCH);
    let incarnation = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(1);
    let seed = mix64(own ^ mix64(incarnation));
    let seeds = settings.seeds.iter().map(|seed| {
        let other = seed.data_centre.as_ref();
        Seed {
            address: seed.address,
            data_centre: other.unwrap_or(&settings.data_centre).clone(),
        }
    });
    let members = MembersStart {
        settings: MembershipSettings {
            seeds: seeds.collect(),
            ..MembershipSettings::default()
        },
        own: InstanceRecord {
            name: settings.name.clone(),
            incarnation,
            address: settings.addresses.fleet,
            data_centre: settings.data_centre.clone(),
        },
    };
    let control = control_start(settings, own, seed, mailbox)?;
    let peers = Peers::start(settings, incarnation, mailbox)?;
    OrdersThread::start(mailbox)?;
    Ok(LoopStart {
        peers,
        epoch: u32::try_from(incarnation / 1_000).unwrap_or(u32::MAX),
        own_id: own,
        data_centre: settings.data_centre.clone(),
        seed,
        members,
        control,
    })
}

/// Opens the storage of the control replica, if this instance has one.
///
/// Instances in the list of control members hold a replica. Without a list, an
/// instance with a data folder becomes the only member of its own group, or
/// waits to be added to a group if it has seeds.
fn control_start(
    settings: &NodeSettings,
    own: u64,
    seed: u64,
    mailbox: &Mailbox,
) -> Result<ControlStart, String> {
    let others = settings.control.iter().map(ControlAddress::id);
    let others: Vec<u64> = others.filter(|id| *id != own).collect();
    let listed = others.len() < settings.control.len();
    let single_member = others.is_empty() && (listed || settings.seeds.is_empty());
    let opened = match &settings.data_folder {
        Some(folder) if listed || settings.control.is_empty() => {
            disk::open(folder, own, single_member, mailbox)?
        }
        None if settings.dev => disk::in_memory(own),
        _ => return Ok(ControlStart::follower(own)),
    };
    let member = MemberSettings {
        replica: ReplicaSettings {
            id: own,
            disk: opened.id,
            ..ReplicaSettings::default()
        },
        process: seed,
        ..MemberSettings::default()
    };
    let initial_changes = if settings.dev {
        dev::initial_changes()?
    } else {
        Vec::new()
    };
    let mut start = ControlStart {
        own_disk: opened.id,
        listed,
        disk: opened.disk,
        initial_changes,
        ..ControlStart::follower(own)
    };
    if listed && opened.restored.is_empty() {
        start.formation = Some(FormationStart {
            state: FormationState::new(own, opened.id, others),
            member,
            seed,
            next_announce_at: Instant::now(),
        });
    } else {
        start.member = Some(Member::new(member, opened.restored, seed, Instant::now()));
    }
    Ok(start)
}

/// Shuts a node down without interrupting requests: the load balancer first sees
/// that the node is not ready, new requests are still served during the drain
/// time, and requests in progress finish.
fn shut_down(node: &Node, edges: &Edges) {
    let drain = node.settings.limits.drain;
    info!(
        drain_ms = drain.as_millis(),
        "shutting down: reporting not ready and draining"
    );
    node.drain();
    thread::sleep(drain);
    node.close();
    edges.callers.close();
    // The wait is bounded: every request has a deadline, and a write to a stalled
    // caller times out.
    let limits = node.settings.limits;
    let wait_end = Instant::now() + limits.deadline + limits.caller_stall;
    while edges.callers.in_progress() > 0 {
        if Instant::now() >= wait_end {
            warn!(
                left = edges.callers.in_progress(),
                "requests did not finish in time; ending them"
            );
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
