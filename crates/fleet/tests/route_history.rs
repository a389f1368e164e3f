//! Guards against streams that are joined from two services because their route has moved.

use std::time::{Duration, Instant};

use bamboospur_fleet::control::RouteHistory;
use bamboospur_fleet::stream_origins::MAX_STREAM_AGE;
use bamboospur_group::Document;

/// Returns a configuration whose routes lead to these services, given as JSON with weights.
fn document(version: u64, routes: &[(&str, &str)]) -> Document {
    let routes = routes.iter().map(|(prefix, split)| {
        format!(
            "{{\"name\":\"r\",\"host\":\"a.example\",\"pathPrefix\":\"{prefix}\",\"type\":\"stream\",\
             \"timeoutMs\":1000,\"resumable\":true,\"split\":[{split}]}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = ["s1", "s2", "s3"].map(|name| format!("{{\"name\":\"{name}\"}}"));
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}]}}",
        routes.join(","),
        services.join(",")
    );
    Document::new(version, text.as_bytes())
}

fn share(service: &str, weight: u32) -> String {
    format!("{{\"service\":\"{service}\",\"weight\":{weight}}}")
}

fn lately(
    history: &mut RouteHistory,
    newest: &Document,
    service: &str,
    now: Instant,
) -> Vec<String> {
    let services = history.services_lately(&[service.to_owned()], newest, now);
    services.expect("known services").into_iter().collect()
}

#[test]
fn a_stream_can_have_begun_where_its_route_led_before() {
    let start = Instant::now();
    let (first, second) = (share("s1", 1), share("s2", 1));
    let split = format!("{},{}", share("s1", 1), share("s2", 0));
    let back = format!("{},{}", share("s1", 0), share("s2", 1));
    let cases = [
        vec![
            document(1, &[("/a/", &first)]),
            document(2, &[("/a/", &second)]),
        ],
        vec![
            document(1, &[("/a/", &split)]),
            document(2, &[("/a/", &back)]),
        ],
        vec![
            document(1, &[("/a/", &first)]),
            document(2, &[("/b/", &first)]),
            document(3, &[("/a/", &second)]),
        ],
        vec![
            document(1, &[("/a/", &second)]),
            document(2, &[("/a/", &first)]),
            document(3, &[("/a/", &second)]),
        ],
    ];
    for mut documents in cases {
        let mut history = RouteHistory::default();
        let newest = documents.pop().expect("a document");
        for replaced in documents {
            history.push(replaced, start);
        }
        assert_eq!(lately(&mut history, &newest, "s2", start), ["s1", "s2"]);
        let later = start + MAX_STREAM_AGE;
        assert_eq!(lately(&mut history, &newest, "s2", later), ["s2"]);
        assert!(history.is_complete(start));
    }
}

#[test]
fn routes_that_stay_where_they_are_lose_nothing() {
    let start = Instant::now();
    let (first, second) = (share("s1", 1), share("s2", 1));
    let mut history = RouteHistory::default();
    history.push(document(1, &[("/a/", &first), ("/b/", &first)]), start);
    let newest = document(2, &[("/a/", &first), ("/b/", &second), ("/c/", &first)]);
    assert_eq!(lately(&mut history, &newest, "s3", start), ["s3"]);
    let mut unmoved = RouteHistory::default();
    unmoved.push(document(1, &[("/a/", &first)]), start);
    assert_eq!(lately(&mut unmoved, &newest, "s1", start), ["s1"]);
}

#[test]
fn a_gap_is_not_taken_for_knowledge() {
    let start = Instant::now();
    let mut history = RouteHistory::default();
    history.record_gap(start);
    assert!(!history.is_complete(start + Duration::from_secs(59)));
    assert!(history.is_complete(start + MAX_STREAM_AGE));
    // More configurations than are kept leave a gap as well.
    let mut large = RouteHistory::default();
    for version in 1..40 {
        large.push(Document::new(version, &vec![b' '; 300_000]), start);
    }
    assert!(!large.is_complete(start));
}

/// Guards against a control instance that answers nothing else while it reads many configurations.
#[test]
fn a_query_reads_a_part_of_the_configurations() {
    let start = Instant::now();
    let mut history = RouteHistory::default();
    let services = share("s1", 1);
    for version in 1..=10 {
        let plain = document(version, &[("/a/", &services)]);
        let mut text = plain.text().to_vec();
        text.resize(300_000, b' ');
        history.push(Document::new(version, &text), start);
    }
    let newest = document(11, &[("/a/", &services)]);
    let mut asked = 0;
    while history
        .services_lately(&["s1".to_owned()], &newest, start)
        .is_none()
    {
        asked += 1;
        assert!(asked < 10, "the services never become known");
    }
    assert!(asked >= 4, "{asked}");
}
