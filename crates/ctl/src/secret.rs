//! The operator's token and secrets that are stored hashed.

use std::fmt;
use std::fs;

use bamboospur_settings::KeyHash;

use crate::error::CtlError;

/// Environment variable of the token.
pub const TOKEN_VARIABLE: &str = "BAMBOOSPUR_TOKEN";

/// Token that is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Returns the value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}

/// Reads the token from a file, or from the environment without one.
pub fn token(file: Option<&str>) -> Result<Token, CtlError> {
    let text = match file {
        Some(file) => read(file)?,
        None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let text = text.trim();
    if text.is_empty() {
        let message = format!("no token: give --token-file FILE or set {TOKEN_VARIABLE}");
        return Err(CtlError::Token(message));
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = "the token has characters that cannot be sent: make a new one";
        return Err(CtlError::Token(message.to_owned()));
    }
    Ok(Token(text.to_owned()))
}

/// Hashes the secret in a file.
pub fn hash_file(file: &str) -> Result<KeyHash, CtlError> {
    let text = read(file)?;
    let secret = text.trim();
    if secret.len() < 16 {
        let message =
            format!("the secret in {file} has less than 16 characters: make a longer one");
        return Err(CtlError::Usage(message));
    }
    Ok(KeyHash::from_secret(secret))
}

fn read(file: &str) -> Result<String, CtlError> {
    fs::read_to_string(file)
        .map_err(|error| CtlError::Usage(format!("file {file} cannot be read: {error}")))
}
