//! Orders to engines: the leader's queue, and the thread that calls engines.
//!
//! Only the instances of a data centre know its engines. The live instance with the
//! lowest id asks the engines what they have loaded, reports this to the leader and
//! receives the orders for them in the answer. Two instances can do so for a short
//! time: reports carry their time, and the leader hands out each order once. An
//! order is sent once, on a new connection; its result goes to the leader with the
//! next report.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use bamboospur_control::{MemberInput, Request, Response, desired_state};
use bamboospur_orders::{Action, FencingToken, Order, OrderResult, Report};
use bamboospur_types::{BufferBudget, Offer, TargetId};
use bamboospur_upstream::{
    Answer, Call, CancelHandle, Client, ClientSettings, Failure, FailureKind, ReadTimeouts,
    RequestIdEcho,
};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use tracing::{error, info, warn};

use super::control::Control;
use super::control_messages::ControlMessage;
use super::members::{EngineRecord, MembersMessage};
use crate::essential;
use crate::mailbox::{Mailbox, MainLoopMessage, ReplySender};

/// Time between two rounds of reports, without the part for each engine.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time added between rounds for each engine: 338 engines report every 7.8 s, about
/// 4 KB/s. The leader uses a report for 30 s.
const REPORT_PERIOD_PER_ENGINE: Duration = Duration::from_millis(20);
/// Longest wait for an answer after the deadline of an order: an engine that
/// started the order in time can take minutes to load a model. Until it answers,
/// this instance sends it no other order.
const ANSWER_WAIT_AFTER_DEADLINE: Duration = Duration::from_mins(10);
/// Longest wait for the leader's answer to a report.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Engines asked for a report in parallel.
const MAX_PARALLEL_REPORTS: usize = 16;
/// Maximum size of an engine's answer. A report has some hundred bytes for each loaded adapter.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// HTTP status of a report, and of the answer to an order that was carried out.
const OK: u16 = 200;
/// Memory for the answers of all engines together.
const MAX_ANSWERS_BYTES: usize = 8 * 1024 * 1024;
/// HTTP statuses by which an engine refuses an order: invalid order, unknown path,
/// old fencing token, passed deadline. Other statuses may come from an
/// intermediary, and don't prove that the engine refused.
const REFUSAL_STATUSES: [u16; 4] = [400, 404, 409, 410];

/// Message of the thread that calls engines.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Requests the pools with managed versions, each with whether its engines check
    /// fencing tokens.
    Managed(ReplySender<Vec<(String, bool)>>),
}

/// Target, fencing token and result of an order that ended.
type EndedOrder = (TargetId, FencingToken, OrderResult);

impl Control {
    /// Handles a message of the thread that calls engines.
    pub(super) fn handle_orders_message(&self, message: OrdersMessage) {
        match message {
            // The send fails only if the thread no longer waits; it then asks again.
            OrdersMessage::Managed(reply) => drop(reply.try_send(self.managed_pools())),
        }
    }

    fn managed_pools(&self) -> Vec<(String, bool)> {
        let fleet = self.follower.tree().fleet();
        let pools = desired_state(fleet).pools.into_keys();
        let pools = pools.map(|name| {
            let checks_fencing = fleet.pools.get(&name).is_some_and(|p| p.checks_fencing);
            (name, checks_fencing)
        });
        pools.collect()
    }

    /// Queues an order until the data centre of its engine fetches it.
    pub(super) fn queue_order(&mut self, order: Order) {
        info!(
            order = order.id,
            target = order.target,
            "queued an order to an engine"
        );
        self.order_counts.issued += 1;
        self.orders.insert(order.target, order);
    }

    /// Handles reports on the leader and returns the queued orders for the reported
    /// engines.
    pub(super) fn handle_engine_reports(
        &mut self,
        reports: &[(TargetId, Report)],
        ended: &[EndedOrder],
        now: Instant,
    ) -> Response {
        for (target, fencing, result) in ended {
            self.record_order_end(*target, *fencing, *result, now);
        }
        let fleet = self.follower.tree().fleet();
        let drift = Duration::from_millis(fleet.orders.clock_drift_ms);
        for (target, report) in reports {
            // The time of a report comes from another clock and must not appear
            // newer than it is: a report from before the end of an order would
            // cause a second order.
            let at = report
                .requested_at
                .checked_sub(drift)
                .unwrap_or(report.requested_at);
            let (target, report) = (
                *target,
                Report {
                    requested_at: at,
                    ..report.clone()
                },
            );
            self.handle_input(MemberInput::Report { target, report }, now);
        }
        let orders = reports.iter().filter_map(|(id, _)| self.orders.remove(id));
        let orders: Vec<Order> = orders.collect();
        self.order_counts.sent += orders.len() as u64;
        Response::Orders(orders)
    }

    fn record_order_end(
        &mut self,
        target: TargetId,
        fencing: FencingToken,
        result: OrderResult,
        now: Instant,
    ) {
        self.order_counts.record(result);
        let input = MemberInput::OrderResult {
            target,
            fencing,
            result,
        };
        self.handle_input(input, now);
    }

    /// Ends the orders that no data centre fetched before their deadline; these were
    /// not sent.
    pub(super) fn tick_orders(&mut self, now: Instant) {
        let at = SystemTime::now();
        let overdue = self.orders.extract_if(.., |_, order| order.deadline <= at);
        let overdue: Vec<Order> = overdue.map(|(_, order)| order).collect();
        for order in overdue {
            warn!(
                order = order.id,
                target = order.target,
                "an order was not fetched before its deadline; it is not sent"
            );
            self.record_order_end(order.target, order.fencing, OrderResult::NotRun, now);
        }
    }
}

/// Answer of an engine to `GET /orders`.
#[derive(Debug, Deserialize)]
struct EngineState {
    offers: Vec<Offer>,
    role: String,
}

/// The thread that calls engines.
#[derive(Clone)]
pub struct OrdersThread {
    mailbox: Mailbox,
    client: Client,
    /// Results not yet reported to the leader.
    ended: Arc<Mutex<Vec<EndedOrder>>>,
    /// Engines with an unanswered order.
    busy: Arc<Mutex<BTreeSet<TargetId>>>,
}

impl OrdersThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns a message for the operator when the thread cannot be started.
    pub fn start(mailbox: &Mailbox) -> Result<(), String> {
        let worker = Self {
            mailbox: mailbox.clone(),
            client: Client::new(
                &ClientSettings::default(),
                BufferBudget::new(MAX_ANSWERS_BYTES),
            ),
            ended: Arc::default(),
            busy: Arc::default(),
        };
        let started = essential::spawn("orders", move || worker.run());
        started.map_err(|error| format!("no thread for orders: {error}"))
    }

    fn run(&self) {
        loop {
            let engines = self.exchange_with_leader();
            let engines = u32::try_from(engines).unwrap_or(u32::MAX);
            thread::sleep(REPORT_PERIOD + REPORT_PERIOD_PER_ENGINE.saturating_mul(engines));
        }
    }

    /// Collects reports of the engines, sends them to the leader and starts the orders
    /// in its answer. Returns the number of reports.
    fn exchange_with_leader(&self) -> usize {
        let reports = self.collect_reports();
        let ended = self.ended().clone();
        let count = reports.len();
        if reports.is_empty() && ended.is_empty() {
            return 0;
        }
        let reported = ended.len();
        let request = Request::Engines { reports, ended };
        let answer = self.mailbox.request_until(
            |reply| MainLoopMessage::Control(ControlMessage::OperatorRequest { request, reply }),
            Instant::now() + LEADER_TIMEOUT,
        );
        // Without an answer, the results are sent again with the next reports.
        // Orders in a lost answer stay live at the leader until their deadline and the
        // allowed clock drift have passed.
        if let Some(Ok(Response::Orders(orders))) = answer {
            self.ended().drain(..reported);
            for order in orders {
                self.start_order(order);
            }
        }
        count
    }

    fn ended(&self) -> std::sync::MutexGuard<'_, Vec<EndedOrder>> {
        // A panic while the lock was held cannot have left the list inconsistent:
        // every statement leaves it complete.
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a thread for an order, because an engine that loads a model can take
    /// minutes to answer.
    fn start_order(&self, order: Order) {
        let worker = self.clone();
        let (target, fencing) = (order.target, order.fencing);
        self.busy().insert(target);
        let spawned = thread::Builder::new().spawn(move || worker.execute_order(&order));
        if let Err(error) = spawned {
            error!(%error, "failed to start a thread for an order; it is not sent");
            self.record_result(target, fencing, OrderResult::NotRun);
        }
    }

    fn execute_order(&self, order: &Order) {
        let engines = self.engines();
        let engine = engines
            .iter()
            .find(|engine| engine.record.id() == order.target);
        let result = engine.map_or(OrderResult::NotRun, |engine| self.send_order(engine, order));
        info!(order = order.id, ?result, "an order to an engine ended");
        self.record_result(order.target, order.fencing, result);
    }

    fn send_order(&self, engine: &EngineRecord, order: &Order) -> OrderResult {
        let left = order.deadline.duration_since(SystemTime::now());
        let Ok(left) = left else {
            return OrderResult::NotRun;
        };
        let wait = left + ANSWER_WAIT_AFTER_DEADLINE;
        let call = call(engine, "POST", order_body(order).into(), order.id, wait);
        let answered = self.client.send(&call, &CancelHandle::default());
        match answered.and_then(order_result) {
            Ok(result) => result,
            Err(failure) if failure.proves_not_run() => OrderResult::NotRun,
            Err(failure) => {
                warn!(order = order.id, %failure, "no whole answer to an order; its result is unknown");
                OrderResult::Unknown
            }
        }
    }

    fn record_result(&self, target: TargetId, fencing: FencingToken, result: OrderResult) {
        self.ended().push((target, fencing, result));
        self.busy().remove(&target);
    }

    fn busy(&self) -> std::sync::MutexGuard<'_, BTreeSet<TargetId>> {
        // A panic while the lock was held cannot have left the set inconsistent:
        // every statement leaves it complete.
        self.busy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the engines of the data centre; empty unless this is the instance that
    /// calls them.
    fn engines(&self) -> Vec<EngineRecord> {
        let engines = self
            .mailbox
            .request(|reply| MainLoopMessage::Members(MembersMessage::Engines(reply)));
        engines.unwrap_or_default()
    }

    /// Asks the engines of managed pools what they have loaded; engines that do not
    /// answer are left out.
    fn collect_reports(&self) -> Vec<(TargetId, Report)> {
        let managed = self.mailbox.request(|reply| {
            MainLoopMessage::Control(ControlMessage::Orders(OrdersMessage::Managed(reply)))
        });
        let managed: BTreeMap<String, bool> = managed.unwrap_or_default().into_iter().collect();
        if managed.is_empty() {
            return Vec::new();
        }
        let engines = self.engines();
        let engines = engines.iter().filter_map(|engine| {
            let checks_fencing = managed.get(&engine.record.pool)?;
            Some((engine, *checks_fencing))
        });
        let engines: Vec<_> = engines.collect();
        let mut reports = Vec::with_capacity(engines.len());
        for chunk in engines.chunks(MAX_PARALLEL_REPORTS) {
            thread::scope(|scope| {
                let asked = chunk.iter().map(|(engine, checks_fencing)| {
                    scope.spawn(|| self.collect_report(engine, *checks_fencing))
                });
                let asked: Vec<_> = asked.collect();
                let answers = asked.into_iter().filter_map(|asked| asked.join().ok());
                reports.extend(answers.flatten());
            });
        }
        reports
    }

    fn collect_report(
        &self,
        engine: &EngineRecord,
        checks_fencing: bool,
    ) -> Option<(TargetId, Report)> {
        let at = SystemTime::now();
        let idle = !self.busy().contains(&engine.record.id());
        let call = call(engine, "GET", Bytes::new(), 0, REPORT_TIMEOUT);
        let answered = self.client.send(&call, &CancelHandle::default());
        let state = answered.and_then(engine_state).inspect_err(|failure| {
            let engine = &engine.record.name;
            info!(engine, %failure, "an engine sent no valid report; asking again in the next round");
        });
        let state = state.ok()?;
        let report = Report {
            requested_at: at,
            pool: engine.record.pool.clone(),
            offers: state.offers.into_iter().collect(),
            role: state.role,
            ready: engine.ready && idle,
            checks_fencing: checks_fencing && engine.record.checks_fencing,
        };
        Some((engine.record.id(), report))
    }
}

/// Returns what an engine reports in its answer to `GET /orders`.
fn engine_state(mut answer: Answer) -> Result<EngineState, Failure> {
    let body = answer.body.read_whole(MAX_ANSWER_BYTES)?;
    let invalid = |detail: String| answer.body.failure(FailureKind::Malformed, &detail);
    if answer.status != OK {
        return Err(invalid(format!("the status is {}", answer.status)));
    }
    serde_json::from_slice(&body.to_vec()).map_err(|error| invalid(error.to_string()))
}

/// Returns the result that an answer to an order states. A refusal is stated by its head alone.
fn order_result(mut answer: Answer) -> Result<OrderResult, Failure> {
    if answer.status == OK {
        answer.body.read_whole(MAX_ANSWER_BYTES)?;
        return Ok(OrderResult::Done);
    }
    let is_refusal = REFUSAL_STATUSES.contains(&answer.status) || answer.proves_not_run();
    Ok(if is_refusal {
        OrderResult::NotRun
    } else {
        OrderResult::Unknown
    })
}

fn call(engine: &EngineRecord, method: &str, body: Bytes, id: u64, left: Duration) -> Call {
    Call {
        address: engine.record.address,
        method: method.to_owned(),
        path: "/orders".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body,
        request_id: format!("order-{id}"),
        echo: RequestIdEcho::Optional,
        new_connection: true,
        timeouts: ReadTimeouts {
            head: left,
            body: left,
        },
        deadline: Instant::now() + left,
    }
}

fn order_body(order: &Order) -> Vec<u8> {
    let deadline = order.deadline.duration_since(SystemTime::UNIX_EPOCH);
    let deadline = deadline.unwrap_or_default().as_millis();
    let (action, offer, role) = match &order.action {
        Action::Load { offer } => ("load", json!(offer), Value::Null),
        Action::Unload { offer } => ("unload", json!(offer), Value::Null),
        Action::Role { role } => ("role", Value::Null, json!(role)),
    };
    let body = json!({
        "order_id": order.id.to_string(),
        "fencing": order.fencing.number(),
        "deadline_unix_ms": u64::try_from(deadline).unwrap_or(u64::MAX),
        "action": action,
        "offer": offer,
        "role": role,
    });
    body.to_string().into_bytes()
}
