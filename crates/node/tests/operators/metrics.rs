//! Names of the metrics that a metrics server receives.

use std::collections::BTreeSet;
use std::fs;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

use crate::process::{Process, free_address};
use crate::support::{eventually, test_folder};

/// Returns the names of gauges in the tables of `docs/OPERATIONS.md`: the texts in
/// backticks in the first column.
fn documented_gauges() -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("page");
    let rows = page.lines().filter_map(|line| {
        let mut columns = line.strip_prefix("| ")?.split(" | ");
        let (names, kind) = (columns.next()?, columns.next()?);
        kind.starts_with("gauge").then_some(names)
    });
    let names = rows.flat_map(|names| names.split('`').skip(1).step_by(2));
    names
        .filter(|name| *name != "kind")
        .map(str::to_owned)
        .collect()
}

/// Guards against gauges that are documented but not sent, or sent but not documented.
#[test]
fn documented_gauges_are_those_that_are_sent() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("server");
    let timeout = Some(Duration::from_millis(100));
    server.set_read_timeout(timeout).expect("time-out");
    let folder = test_folder();
    fs::write(folder.join("secret"), "fleet-secret").expect("secret");
    fs::write(folder.join("operator"), "operator-token").expect("token");
    let file = |name: &str| folder.join(name).display().to_string();
    let text = format!(
        "name = \"only\"\ndata_folder = \"{}\"\nfleet_secret_file = \"{}\"\n\
         operator_token_file = \"{}\"\n[addresses]\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\nfleet = \"{}\"\n[metrics]\nstatsd = \"{}\"\n",
        file("data"),
        file("secret"),
        file("operator"),
        free_address(),
        server.local_addr().expect("address"),
    );
    let node = Process::start("only", &folder, &text);
    let expected = documented_gauges();
    assert!(expected.len() > 30, "{expected:?}");
    let mut sent = BTreeSet::new();
    eventually("all documented gauges are sent", || {
        let mut packet = vec![0; 65_536];
        if let Ok(bytes) = server.recv(&mut packet) {
            let text = String::from_utf8_lossy(&packet[..bytes]).into_owned();
            let gauges = text.lines().filter(|line| line.contains("|g"));
            let names = gauges.filter_map(|line| line.split_once(':'));
            let names = names.filter_map(|(name, _)| name.strip_prefix("bamboospur."));
            sent.extend(names.map(str::to_owned));
        }
        expected.is_subset(&sent)
    });
    assert_eq!(
        expected, sent,
        "the page and the program name the same gauges"
    );
    assert_eq!(node.violations(), 0);
}
