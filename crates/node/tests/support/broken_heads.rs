//! Parts of heads that make bytes no HTTP response.

/// Status codes that no final response has: outside 100 to 599, or an upgrade that was not asked
/// for.
pub const INVALID_STATUSES: [&str; 9] = [
    "000", "001", "042", "099", "101", "600", "700", "777", "999",
];

/// Field lines whose name holds a blank or a control byte.
pub fn invalid_field_lines() -> Vec<String> {
    let blanks = [
        "Bad Name: x",
        "Bad  Name: x",
        "Bad\tName: x",
        "Name : x",
        "Name\t: x",
        " Name: x",
        "\tName: x",
        " : x",
        "Content-Length : 3",
        "Transfer-Encoding : chunked",
    ];
    let controls = [
        '\0', '\u{1}', '\u{7}', '\u{8}', '\u{b}', '\u{c}', '\u{e}', '\u{1b}', '\u{1f}', '\u{7f}',
    ];
    let blanks = blanks.into_iter().map(str::to_owned);
    let controls = controls.map(|byte| format!("Bad{byte}Name: x"));
    blanks.chain(controls).collect()
}
