//! Checks that `docs/result-codes.md` matches the program.

use std::collections::BTreeSet;

use bamboospur_types::ResultCode;
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../../docs/result-codes.md");
const STEPS: [&str; 8] = [
    "accept",
    "authenticate",
    "admit",
    "claim",
    "place",
    "send",
    "relay",
    "settle",
];

fn rows(heading: &str) -> Vec<Vec<String>> {
    let section = PAGE.split("\n## ").find(|part| part.starts_with(heading));
    let lines = section.expect("section").lines();
    let rows = lines.filter(|line| line.starts_with("| ")).skip(1);
    rows.map(|line| {
        line.trim_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    })
    .collect()
}

/// Guards against a result code that is not documented or documented wrongly.
#[test]
fn every_code_has_its_row() {
    let written: Vec<Vec<String>> = rows("Codes")
        .into_iter()
        .map(|row| row[..4].to_vec())
        .collect();
    let defined: Vec<Vec<String>> = ResultCode::iter()
        .map(|code| {
            vec![
                code.number().to_string(),
                code.to_string(),
                code.http_status().to_string(),
                code.outcome().to_string(),
            ]
        })
        .collect();
    assert_eq!(written, defined);
}

/// Guards against a step of the request path without documented result codes.
#[test]
fn every_step_has_rows_with_defined_codes() {
    let rows = rows("The request path");
    let numbers: BTreeSet<String> = ResultCode::iter().map(|c| c.number().to_string()).collect();
    for row in &rows {
        assert!(STEPS.contains(&row[0].as_str()), "{row:?}");
        assert!(numbers.contains(&row[2]), "{row:?}");
    }
    for step in STEPS {
        assert!(rows.iter().any(|row| row[0] == step), "{step}");
    }
}
