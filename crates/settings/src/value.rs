//! Untyped values, as operators write them in JSON or TOML.
//!
//! Fractions are not supported: every numeric setting is a whole number in a
//! stated unit, so that all replicas compute the same state from the same change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Untyped value of a setting or of a part of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// True or false.
    Flag(bool),
    /// Whole number.
    Integer(i64),
    /// Text.
    Text(String),
    /// List of values.
    List(Vec<Value>),
    /// Named values.
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Converts to TOML, from which the typed settings are deserialized.
    #[must_use]
    pub fn to_toml(&self) -> toml::Value {
        match self {
            Self::Flag(flag) => toml::Value::Boolean(*flag),
            Self::Integer(number) => toml::Value::Integer(*number),
            Self::Text(text) => toml::Value::String(text.clone()),
            Self::List(items) => toml::Value::Array(items.iter().map(Self::to_toml).collect()),
            Self::Table(entries) => {
                let converted = entries.iter().map(|(k, v)| (k.clone(), v.to_toml()));
                toml::Value::Table(converted.collect())
            }
        }
    }

    /// Converts from TOML; fractions and dates are returned as text.
    #[must_use]
    pub fn from_toml(value: &toml::Value) -> Self {
        match value {
            toml::Value::Boolean(flag) => Self::Flag(*flag),
            toml::Value::Integer(number) => Self::Integer(*number),
            toml::Value::String(text) => Self::Text(text.clone()),
            toml::Value::Array(items) => Self::List(items.iter().map(Self::from_toml).collect()),
            toml::Value::Table(entries) => {
                let converted = entries.iter().map(|(k, v)| (k.clone(), Self::from_toml(v)));
                Self::Table(converted.collect())
            }
            toml::Value::Float(number) => Self::Text(number.to_string()),
            toml::Value::Datetime(time) => Self::Text(time.to_string()),
        }
    }

    /// Reads a TOML document.
    ///
    /// # Errors
    ///
    /// Returns the message of the parser, with the line.
    pub fn parse_toml(text: &str) -> Result<Self, String> {
        let read: Result<toml::Table, _> = text.parse();
        let table = read.map_err(|error| error.to_string())?;
        Ok(Self::from_toml(&toml::Value::Table(table)))
    }

    /// Returns the value as TOML on one line.
    #[must_use]
    pub fn to_toml_text(&self) -> String {
        self.to_toml().to_string()
    }

    /// Appends an encoding that is equal only for equal values.
    pub(crate) fn write_canonical(&self, out: &mut Vec<u8>) {
        match self {
            Self::Flag(flag) => out.extend([b'f', u8::from(*flag)]),
            Self::Integer(number) => {
                out.push(b'i');
                out.extend(number.to_le_bytes());
            }
            Self::Text(text) => write_text(out, b't', text),
            Self::List(items) => {
                write_length(out, b'l', items.len());
                for item in items {
                    item.write_canonical(out);
                }
            }
            Self::Table(entries) => {
                write_length(out, b'm', entries.len());
                for (name, value) in entries {
                    write_text(out, b'n', name);
                    value.write_canonical(out);
                }
            }
        }
    }
}

fn write_length(out: &mut Vec<u8>, tag: u8, length: usize) {
    out.push(tag);
    out.extend((length as u64).to_le_bytes());
}

pub(crate) fn write_text(out: &mut Vec<u8>, tag: u8, text: &str) {
    write_length(out, tag, text.len());
    out.extend(text.as_bytes());
}
