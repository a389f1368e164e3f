//! Settings values as a flat list of tokens. `postcard` would decode nested values
//! recursively, and malicious bytes could overflow the stack; here the nesting is
//! bounded.

use std::collections::BTreeMap;

use bamboospur_settings::Value;
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;

/// Maximum nesting of a value; the settings need 5 levels.
const MAX_NESTING_LEVELS: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Token {
    Flag(bool),
    Integer(i64),
    Text(String),
    List(u32),
    Table(Vec<String>),
}

/// Tokens of a value; a list or table token comes before its elements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireValue {
    tokens: Vec<Token>,
}

fn nesting_error() -> CodecError {
    CodecError::invalid_content(format!("a value has more than {MAX_NESTING_LEVELS} levels"))
}

fn write_tokens(value: &Value, depth: usize, tokens: &mut Vec<Token>) -> Result<(), CodecError> {
    if depth > MAX_NESTING_LEVELS {
        return Err(nesting_error());
    }
    match value {
        Value::Flag(flag) => tokens.push(Token::Flag(*flag)),
        Value::Integer(number) => tokens.push(Token::Integer(*number)),
        Value::Text(text) => tokens.push(Token::Text(text.clone())),
        Value::List(items) => {
            let count = u32::try_from(items.len()).map_err(CodecError::invalid_content)?;
            tokens.push(Token::List(count));
            for item in items {
                write_tokens(item, depth + 1, tokens)?;
            }
        }
        Value::Table(entries) => {
            tokens.push(Token::Table(entries.keys().cloned().collect()));
            for entry in entries.values() {
                write_tokens(entry, depth + 1, tokens)?;
            }
        }
    }
    Ok(())
}

fn read_value(tokens: &mut std::vec::IntoIter<Token>, depth: usize) -> Result<Value, CodecError> {
    if depth > MAX_NESTING_LEVELS {
        return Err(nesting_error());
    }
    let missing = || {
        CodecError::invalid_content(
            "a value has fewer tokens than its list or table lengths require",
        )
    };
    let value = match tokens.next().ok_or_else(missing)? {
        Token::Flag(flag) => Value::Flag(flag),
        Token::Integer(number) => Value::Integer(number),
        Token::Text(text) => Value::Text(text),
        Token::List(count) => {
            let items = (0..count).map(|_| read_value(tokens, depth + 1));
            Value::List(items.collect::<Result<_, _>>()?)
        }
        Token::Table(names) => {
            let mut entries = BTreeMap::new();
            for name in names {
                let entry = read_value(tokens, depth + 1)?;
                if entries.insert(name, entry).is_some() {
                    return Err(CodecError::invalid_content(
                        "a table contains the same name twice",
                    ));
                }
            }
            Value::Table(entries)
        }
    };
    Ok(value)
}

impl TryFrom<&Value> for WireValue {
    type Error = CodecError;

    fn try_from(value: &Value) -> Result<Self, Self::Error> {
        let mut tokens = Vec::new();
        write_tokens(value, 1, &mut tokens)?;
        Ok(Self { tokens })
    }
}

impl TryFrom<WireValue> for Value {
    type Error = CodecError;

    fn try_from(wire: WireValue) -> Result<Self, Self::Error> {
        let mut tokens = wire.tokens.into_iter();
        let value = read_value(&mut tokens, 1)?;
        if tokens.next().is_some() {
            return Err(CodecError::invalid_content(
                "a value has more tokens than its list or table lengths require",
            ));
        }
        Ok(value)
    }
}
