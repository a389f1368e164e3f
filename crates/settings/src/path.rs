//! Paths into the tree, such as `teams.demo.share.requests`. A name with
//! other characters than letters, digits, `-` and `_` is written in quotes:
//! `fleet.models.chat.versions."1.2".replicas`.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use crate::branch::BranchName;

/// Path of a value: a branch and the names below it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path {
    /// Branch that holds the value.
    pub branch: BranchName,
    /// Names below the branch, outermost first; empty for the whole branch.
    pub names: Vec<String>,
}

impl Path {
    /// Returns the path of a whole branch.
    #[must_use]
    pub const fn from_branch(branch: BranchName) -> Self {
        Self {
            branch,
            names: Vec::new(),
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.branch)?;
        for name in &self.names {
            write!(f, ".{}", quoted(name))?;
        }
        Ok(())
    }
}

pub(crate) fn quoted(name: &str) -> String {
    let needs_no_quotes = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if !name.is_empty() && name.bytes().all(needs_no_quotes) {
        return name.to_owned();
    }
    format!("\"{name}\"")
}

/// Text that is not a valid path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathError {
    text: String,
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "path {:?} is not valid: start with fleet or teams.NAME, separate names with dots and put names with dots in quotes",
            self.text
        )
    }
}

impl Error for PathError {}

impl FromStr for Path {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || PathError {
            text: text.to_owned(),
        };
        let mut names = parse_names(text).ok_or_else(error)?.into_iter();
        let branch = match names.next().as_deref() {
            Some("fleet") => BranchName::Fleet,
            Some("teams") => BranchName::Team(names.next().ok_or_else(error)?),
            _ => return Err(error()),
        };
        Ok(Self {
            branch,
            names: names.collect(),
        })
    }
}

fn parse_names(text: &str) -> Option<Vec<String>> {
    let mut names = Vec::new();
    let mut rest = text;
    loop {
        let (name, after) = split_first_name(rest)?;
        if name.is_empty() || name.chars().any(char::is_control) {
            return None;
        }
        names.push(name.to_owned());
        if after.is_empty() {
            return Some(names);
        }
        rest = after.strip_prefix('.')?;
    }
}

fn split_first_name(text: &str) -> Option<(&str, &str)> {
    if let Some(inner) = text.strip_prefix('"') {
        return inner.split_once('"');
    }
    let end = text.find('.').unwrap_or(text.len());
    let (name, rest) = text.split_at(end);
    (!name.contains('"')).then_some((name, rest))
}
