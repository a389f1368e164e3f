//! Orders to engines that result from changes of the settings.

use std::collections::BTreeSet;
use std::fs;

use bamboospur_standin::announcer::AnnounceSettings;
use bamboospur_standin::{Engine as StandIn, EngineSettings};
use serde_json::Value;

use crate::ctl::Ctl;
use crate::engine::{Engine, EngineAnswer};
use crate::process::{Process, free_address};
use crate::support::{Caller, Node, eventually, test_folder};

const VERSION: &str = "fleet.models.demo-chat.versions.v2";

fn ctl(node: &Node) -> Ctl {
    let ctl = Ctl::new(node.operators, "demo");
    ctl.expect_success(&["set", "fleet.pools.demo-chat.checks_fencing", "true"]);
    ctl.expect_success(&["set", "fleet.orders.loads_per_minute", "600"]);
    ctl.expect_success(&["set", "fleet.orders.clock_drift_ms", "100"]);
    ctl
}

/// Guards against orders that are not sent, sent twice, or sent without a fencing
/// token.
#[test]
fn an_added_version_is_loaded_once() {
    let node = Node::start();
    let ctl = ctl(&node);
    let engine = StandIn::start(EngineSettings {
        offers: BTreeSet::new(),
        announce: Some(AnnounceSettings {
            instances: vec![node.operators.to_string()],
            token: None,
        }),
        ..EngineSettings::default()
    })
    .expect("engine");
    let report = || -> Value { Caller::new(engine.address()).get("/orders").json() };
    ctl.expect_success(&["set", VERSION, "{ replicas = 1 }", "--wait"]);
    ctl.expect_success(&["set", "teams.demo.models.demo-chat.versions", "[\"v2\"]"]);
    eventually("the version is loaded", || {
        report()["offers"].to_string().contains("demo-chat@v2")
    });
    // The adapter is loaded after the version, so a second load of the version would
    // be visible by then.
    ctl.expect_success(&["set", &format!("{VERSION}.adapters"), "[\"legal\"]"]);
    eventually("the adapter is loaded", || {
        report()["offers"]
            .to_string()
            .contains("demo-chat@v2+legal")
    });
    let report = report();
    let runs = report["orders"].as_object().expect("orders");
    // Three orders: the change of role, the version and the adapter.
    assert_eq!(runs.len(), 3, "{report}");
    assert!(runs.values().all(|count| *count == 1), "{report}");
    assert!(report["fencing"].as_u64() > Some(0), "{report}");
    assert!(node.status().contains("\"invariant_violations\":0"));
}

/// Guards against an order that is sent again because its answer was lost.
#[test]
fn a_lost_answer_does_not_duplicate_an_order() {
    let node = Node::start();
    let ctl = ctl(&node);
    ctl.expect_success(&["set", "fleet.orders.deadline_ms", "3000"]);
    let engine = Engine::start("engine", node.operators, 1);
    ctl.expect_success(&["set", VERSION, "{ replicas = 1 }"]);
    eventually("the version is ordered", || engine.loads() == 1);
    ctl.expect_success(&["set", &format!("{VERSION}.adapters"), "[\"legal\"]"]);
    eventually("the adapter is ordered", || engine.loads() > 1);
    let book = engine.state.lock().expect("book");
    let offers: Vec<_> = book
        .finished_orders
        .iter()
        .map(|o| o["offer"].as_str())
        .collect();
    let expected = [Some("demo-chat@v2"), Some("demo-chat@v2+legal")];
    assert_eq!(offers, expected);
    assert!(
        book.finished_orders[0]["fencing"].as_u64() < book.finished_orders[1]["fencing"].as_u64()
    );
}

/// Returns the number of orders with this result.
fn ended_orders(node: &Node, result: &str) -> u64 {
    let status: Value = serde_json::from_str(&node.status()).expect("JSON");
    status["counters"][format!("orders.{result}")]
        .as_u64()
        .unwrap_or(0)
}

/// Guards against an order that counts as done, or as not run, by an answer that is no whole one
/// of the engine.
#[test]
fn a_broken_answer_to_an_order_leaves_its_result_unknown() {
    for broken in [
        EngineAnswer::Cut,
        EngineAnswer::Status(101),
        EngineAnswer::Status(600),
        EngineAnswer::Status(0),
        EngineAnswer::Status(500),
    ] {
        let node = Node::start();
        let ctl = ctl(&node);
        let engine = Engine::start("engine", node.operators, 0);
        engine.state.lock().expect("book").order_answer = broken;
        ctl.expect_success(&["set", VERSION, "{ replicas = 1 }"]);
        eventually("the order has ended", || {
            ended_orders(&node, "unknown") + ended_orders(&node, "done") > 0
        });
        let ended = ["done", "not_run"].map(|result| ended_orders(&node, result));
        assert_eq!(ended, [0, 0], "{broken:?}: {}", node.status());
    }
}

/// Guards against orders by a report that is no answer of the engine, or one to another question.
#[test]
fn an_engine_whose_reports_are_broken_gets_no_orders() {
    for broken in [
        EngineAnswer::Cut,
        EngineAnswer::Status(101),
        EngineAnswer::Status(204),
        EngineAnswer::Status(404),
        EngineAnswer::Status(500),
        EngineAnswer::Status(600),
        EngineAnswer::Status(0),
    ] {
        let node = Node::start();
        let ctl = ctl(&node);
        let engine = Engine::start("engine", node.operators, 0);
        engine.state.lock().expect("book").report_answer = broken;
        ctl.expect_success(&["set", VERSION, "{ replicas = 1 }"]);
        let seen = engine.reports();
        eventually("the engine is asked again", || engine.reports() >= seen + 3);
        let started = engine.state.lock().expect("book").started_count;
        assert_eq!(started, 0, "{broken:?}");
        engine.state.lock().expect("book").report_answer = EngineAnswer::Whole;
        eventually("the version is ordered", || engine.loads() == 1);
    }
}

/// Guards against a second order to an engine whose load outlasts the deadline.
#[test]
fn a_load_that_takes_long_is_not_ordered_again() {
    let node = Node::start();
    let ctl = ctl(&node);
    ctl.expect_success(&["set", "fleet.orders.deadline_ms", "1500"]);
    let engine = Engine::start("engine", node.operators, 0);
    engine.state.lock().expect("book").hold_orders = true;
    ctl.expect_success(&["set", VERSION, "{ replicas = 1 }"]);
    let received = || engine.state.lock().expect("book").started_count;
    eventually("the load is started", || received() == 1);
    eventually("the order's end is recorded", || {
        // The node asks for a report once a second, so the deadline has passed.
        engine.reports() >= 7
    });
    assert_eq!(received(), 1);
    engine.state.lock().expect("book").hold_orders = false;
    eventually("the version is loaded", || engine.loads() == 1);
    ctl.expect_success(&["set", &format!("{VERSION}.adapters"), "[\"legal\"]"]);
    eventually("the adapter is ordered", || engine.loads() == 2);
    assert_eq!(received(), 2);
}

/// Guards against a rate of loads above the one that the weight store allows.
#[test]
fn loads_keep_the_rate_limit_of_the_weight_store() {
    let node = Node::start();
    let ctl = ctl(&node);
    ctl.expect_success(&["set", "fleet.orders.loads_per_minute", "1"]);
    let engines = ["engine-a", "engine-b"].map(|name| Engine::start(name, node.operators, 0));
    let loads = || engines.iter().map(Engine::loads).sum::<usize>();
    ctl.expect_success(&["set", VERSION, "{ replicas = 2 }"]);
    eventually("one engine loads", || loads() == 1);
    let seen = engines.each_ref().map(Engine::reports);
    eventually("both engines report repeatedly", || {
        let reports = engines.each_ref().map(Engine::reports);
        reports[0] >= seen[0] + 4 && reports[1] >= seen[1] + 4
    });
    assert_eq!(loads(), 1);
    ctl.expect_success(&["set", "fleet.orders.loads_per_minute", "600"]);
}

/// Guards against engines that get no orders because the leader is in another data
/// centre and doesn't know them.
#[test]
fn engines_of_another_data_centre_get_orders() {
    let folder = test_folder();
    fs::write(folder.join("secret"), "fleet-secret").expect("secret");
    fs::write(folder.join("operator"), "operator-token").expect("token");
    let leader = free_address();
    let start = |name: &str, address, data: &str| {
        let file = |name: &str| folder.join(name).display().to_string();
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"hall-of-{name}\"\n{data}\n\
             fleet_secret_file = \"{}\"\noperator_token_file = \"{}\"\n\
             control = [{{ name = \"leader\", address = \"{leader}\" }}]\n\
             [addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             fleet = \"{address}\"\n",
            file("secret"),
            file("operator"),
        );
        Process::start(name, &folder, &text)
    };
    let data = format!("data_folder = \"{}\"", folder.join("data").display());
    let leading = start("leader", leader, &data);
    let other = start("other", free_address(), "");
    eventually("there is a leader", || leading.role() == "leader");
    let ctl = Ctl::new(leading.operators, "operator-token");
    ctl.expect_success(&[
        "set",
        "fleet.pools.demo-chat",
        "{ kind = \"engine\", checks_fencing = true }",
    ]);
    ctl.expect_success(&["set", "fleet.orders.clock_drift_ms", "100"]);
    ctl.expect_success(&["set", "fleet.models.demo-chat", "{ pool = \"demo-chat\" }"]);
    ctl.expect_success(&["set", VERSION, "{ replicas = 1 }", "--wait"]);
    let engine = Engine::start_in("hall-of-other", "engine", other.operators, 0);
    eventually("the version is ordered", || engine.loads() == 1);
    eventually("the result is known", || {
        leading.status()["counters"]["orders.done"] == 1
    });
    assert_eq!(leading.violations() + other.violations(), 0);
}
