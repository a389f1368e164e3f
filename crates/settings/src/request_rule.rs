//! Rules that select requests by method and path, written `POST /charges` or
//! `* /records/*`. A `*` as the method matches any method, and a `*` at the end
//! of the path matches any suffix.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Rule that selects requests by method and path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRule {
    text: Box<str>,
}

impl RequestRule {
    /// Returns whether the rule matches a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some((rule_method, rule_path)) = self.text.split_once(' ') else {
            return false;
        };
        if rule_method != "*" && rule_method != method {
            return false;
        }
        match rule_path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == rule_path,
        }
    }
}

impl fmt::Display for RequestRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Text that is not a valid rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseRuleError {
    text: String,
}

impl fmt::Display for ParseRuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {:?} is not of the form \"METHOD /path\", with * for any method or at the end of the path",
            self.text
        )
    }
}

impl Error for ParseRuleError {}

impl FromStr for RequestRule {
    type Err = ParseRuleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseRuleError {
            text: text.to_owned(),
        };
        let (method, path) = text.split_once(' ').ok_or_else(error)?;
        let method_valid = method == "*" || is_method(method);
        let inner = path.strip_suffix('*').unwrap_or(path);
        if !method_valid || !path.starts_with('/') || inner.contains(['*', ' ']) {
            return Err(error());
        }
        Ok(Self { text: text.into() })
    }
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

impl TryFrom<String> for RequestRule {
    type Error = ParseRuleError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestRule> for String {
    fn from(rule: RequestRule) -> Self {
        rule.text.into_string()
    }
}
