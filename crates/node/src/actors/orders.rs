//! Orders to engines: the leader's queue, and the thread that calls engines.
//!
//! The engines of a data centre are known to its own instances only. One of
//! these, the live one with the lowest id, asks the engines what they have
//! loaded, reports it to the leader, and gets the orders to them with the
//! answer. For a moment there can be two such instances: reports carry their
//! time, and the leader hands out each order once. An order is sent once on a
//! fresh connection; what its answer proves goes back with the next report.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use bamboospur_control::{MemberInput, Request, Response, desired_state};
use bamboospur_orders::{Action, FencingToken, Order, OrderResult, Report};
use bamboospur_types::{Offer, TargetId};
use bamboospur_upstream::{Call, Cancel, Client, ClientSettings, ReadTimeouts, RequestIdEcho};
use serde::Deserialize;
use serde_json::{Value, json};
use tracing::{error, info, warn};

use super::control::Control;
use super::control_mail::ControlMessage;
use super::members::{EngineRecord, MembersMessage};
use crate::mailbox::{Mailbox, MainLoopMessage, Reply};

/// Time between two questions to few engines.
const INTERVAL: Duration = Duration::from_secs(1);
/// Added for each engine: 338 engines report every 7.8 s, about 4 KB/s. The
/// leader uses reports for 30 s.
const INTERVAL_PER_ENGINE: Duration = Duration::from_millis(20);
/// Longest wait for an answer after the deadline of an order: an engine that
/// started in time can take minutes to load a model. Until then it gets no
/// other order from here.
const AFTER_DEADLINE: Duration = Duration::from_mins(10);
/// Longest wait for the leader.
const LEADER_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for a report.
const REPORT_WAIT: Duration = Duration::from_secs(2);
/// Engines asked at once.
const ASKED_AT_ONCE: usize = 16;
/// Largest report: some hundred bytes for each loaded adapter.
const REPORT_BYTES: usize = 1024 * 1024;
/// Statuses by which an engine refuses an order: not valid, no such path, an
/// old fencing token, a passed deadline. Others may come from something between.
const REFUSALS: [u16; 4] = [400, 404, 409, 410];

/// Message of the thread that calls engines.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Asks for the pools with managed versions, with whether their engines
    /// check fencing tokens.
    Managed(Reply<Vec<(String, bool)>>),
}

/// An order that ended.
type Ended = (TargetId, FencingToken, OrderResult);

impl Control {
    /// Takes a message of the thread that calls engines.
    pub(super) fn handle_orders_message(&self, mail: OrdersMessage) {
        match mail {
            // A thread that no longer waits asks again.
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

    /// Keeps an order until the data centre of its engine asks for it.
    pub(super) fn queue_order(&mut self, order: Order) {
        info!(
            order = order.id,
            target = order.target,
            "an order to an engine waits"
        );
        self.order_counts.issued += 1;
        self.orders.insert(order.target, order);
    }

    /// Takes reports as the leader, and hands out the orders to their engines.
    pub(super) fn engines_reported(
        &mut self,
        reports: &[(TargetId, Report)],
        ended: &[Ended],
        now: Instant,
    ) -> Response {
        for (target, fencing, result) in ended {
            self.order_ended(*target, *fencing, *result, now);
        }
        let fleet = self.follower.tree().fleet();
        let drift = Duration::from_millis(fleet.orders.clock_drift_ms);
        for (target, report) in reports {
            // The time of a report was taken by another clock. It must not seem
            // newer than it is: a report from before the end of an order would
            // be the reason for a second one.
            let at = report.at.checked_sub(drift).unwrap_or(report.at);
            let (target, report) = (
                *target,
                Report {
                    at,
                    ..report.clone()
                },
            );
            self.feed(MemberInput::Report { target, report }, now);
        }
        let orders = reports.iter().filter_map(|(id, _)| self.orders.remove(id));
        let orders: Vec<Order> = orders.collect();
        self.order_counts.sent += orders.len() as u64;
        Response::Orders(orders)
    }

    fn order_ended(
        &mut self,
        target: TargetId,
        fencing: FencingToken,
        result: OrderResult,
        now: Instant,
    ) {
        self.order_counts.ended(result);
        let input = MemberInput::OrderResult {
            target,
            fencing,
            result,
        };
        self.feed(input, now);
    }

    /// Ends the orders that nobody asked for before their deadline: they were
    /// not sent.
    pub(super) fn tick_orders(&mut self, now: Instant) {
        let at = SystemTime::now();
        let overdue = self.orders.extract_if(.., |_, order| order.deadline <= at);
        let overdue: Vec<Order> = overdue.map(|(_, order)| order).collect();
        for order in overdue {
            warn!(
                order = order.id,
                target = order.target,
                "nobody took an order"
            );
            self.order_ended(order.target, order.fencing, OrderResult::NotRun, now);
        }
    }
}

/// What an engine answers to `GET /orders`.
#[derive(Debug, Deserialize)]
struct Loaded {
    offers: Vec<Offer>,
    role: String,
}

/// The thread that calls engines.
#[derive(Clone)]
pub struct OrdersThread {
    mailbox: Mailbox,
    client: Client,
    /// Results that the leader does not know yet.
    ended: Arc<Mutex<Vec<Ended>>>,
    /// Engines that have not answered an order yet.
    busy: Arc<Mutex<BTreeSet<TargetId>>>,
}

impl OrdersThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns a sentence for the person who starts the node.
    pub fn start(mailbox: &Mailbox) -> Result<(), String> {
        let own = Self {
            mailbox: mailbox.clone(),
            client: Client::new(&ClientSettings::default()),
            ended: Arc::default(),
            busy: Arc::default(),
        };
        let builder = thread::Builder::new().name("orders".to_owned());
        let started = builder.spawn(move || own.run());
        started.map_err(|error| format!("no thread for orders: {error}"))?;
        Ok(())
    }

    fn run(&self) {
        loop {
            let engines = self.round();
            let engines = u32::try_from(engines).unwrap_or(u32::MAX);
            thread::sleep(INTERVAL + INTERVAL_PER_ENGINE.saturating_mul(engines));
        }
    }

    /// Asks the engines, reports to the leader and starts the orders that it
    /// returns. Returns the number of engines.
    fn round(&self) -> usize {
        let reports = self.ask_engines();
        let ended = self.ended().clone();
        let count = reports.len();
        if reports.is_empty() && ended.is_empty() {
            return 0;
        }
        let told = ended.len();
        let request = Request::Engines { reports, ended };
        let answer = self.mailbox.request_until(
            |reply| MainLoopMessage::Control(ControlMessage::OperatorRequest { request, reply }),
            Instant::now() + LEADER_WAIT,
        );
        // Without an answer the reports come again, and orders that went with
        // a lost answer stay live until their end.
        if let Some(Ok(Response::Orders(orders))) = answer {
            self.ended().drain(..told);
            for order in orders {
                self.start_order(order);
            }
        }
        count
    }

    fn ended(&self) -> std::sync::MutexGuard<'_, Vec<Ended>> {
        // The list is whole after every statement.
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An engine that loads a model can take minutes to answer, so that each
    /// order gets a thread.
    fn start_order(&self, order: Order) {
        let own = self.clone();
        let (target, fencing) = (order.target, order.fencing);
        self.busy().insert(target);
        let spawned = thread::Builder::new().spawn(move || own.order(&order));
        if let Err(error) = spawned {
            error!(%error, "no thread for an order");
            self.result(target, fencing, OrderResult::NotRun);
        }
    }

    fn order(&self, order: &Order) {
        let engines = self.engines();
        let engine = engines
            .iter()
            .find(|engine| engine.record.id() == order.target);
        let result = engine.map_or(OrderResult::NotRun, |engine| self.send(engine, order));
        info!(order = order.id, ?result, "an order to an engine ended");
        self.result(order.target, order.fencing, result);
    }

    fn send(&self, engine: &EngineRecord, order: &Order) -> OrderResult {
        let left = order.deadline.duration_since(SystemTime::now());
        let Ok(left) = left else {
            return OrderResult::NotRun;
        };
        let wait = left + AFTER_DEADLINE;
        let call = call(engine, "POST", order_body(order), order.id, wait);
        match self.client.send(&call, &Cancel::default()) {
            Ok(answer) if answer.status == 200 => OrderResult::Done,
            Ok(answer) if REFUSALS.contains(&answer.status) => OrderResult::NotRun,
            Ok(answer) if answer.proves_not_run() => OrderResult::NotRun,
            Ok(_) => OrderResult::Unknown,
            Err(failure) if failure.proves_not_run() => OrderResult::NotRun,
            Err(failure) => {
                warn!(order = order.id, %failure, "an order has no answer");
                OrderResult::Unknown
            }
        }
    }

    fn result(&self, target: TargetId, fencing: FencingToken, result: OrderResult) {
        self.ended().push((target, fencing, result));
        self.busy().remove(&target);
    }

    fn busy(&self) -> std::sync::MutexGuard<'_, BTreeSet<TargetId>> {
        // The set is whole after every statement.
        self.busy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Engines of the data centre, on the instance that calls them.
    fn engines(&self) -> Vec<EngineRecord> {
        let engines = self
            .mailbox
            .request(|reply| MainLoopMessage::Members(MembersMessage::Engines(reply)));
        engines.unwrap_or_default()
    }

    /// Asks the engines of managed pools what they have loaded.
    fn ask_engines(&self) -> Vec<(TargetId, Report)> {
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
        for some in engines.chunks(ASKED_AT_ONCE) {
            thread::scope(|scope| {
                let asked = some.iter().map(|(engine, checks_fencing)| {
                    scope.spawn(|| self.ask_engine(engine, *checks_fencing))
                });
                let asked: Vec<_> = asked.collect();
                let answers = asked.into_iter().filter_map(|asked| asked.join().ok());
                reports.extend(answers.flatten());
            });
        }
        reports
    }

    fn ask_engine(
        &self,
        engine: &EngineRecord,
        checks_fencing: bool,
    ) -> Option<(TargetId, Report)> {
        let at = SystemTime::now();
        let idle = !self.busy().contains(&engine.record.id());
        let call = call(engine, "GET", Vec::new(), 0, REPORT_WAIT);
        let mut answer = self.client.send(&call, &Cancel::default()).ok()?;
        let body = answer.body.read_whole(REPORT_BYTES).ok()?;
        let Ok(loaded) = serde_json::from_slice::<Loaded>(&body) else {
            let engine = &engine.record.name;
            warn!(engine, "an answer to GET /orders cannot be read");
            return None;
        };
        let report = Report {
            at,
            pool: engine.record.pool.clone(),
            offers: loaded.offers.into_iter().collect(),
            role: loaded.role,
            ready: engine.ready && idle,
            checks_fencing: checks_fencing && engine.record.checks_fencing,
        };
        Some((engine.record.id(), report))
    }
}

fn call(engine: &EngineRecord, method: &str, body: Vec<u8>, id: u64, left: Duration) -> Call {
    Call {
        address: engine.record.address,
        method: method.to_owned(),
        path: "/orders".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body,
        request_id: format!("order-{id}"),
        echo: RequestIdEcho::Optional,
        fresh: true,
        wait: ReadTimeouts {
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
