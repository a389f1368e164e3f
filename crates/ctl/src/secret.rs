//! The operator's token, and secrets of which only the hash is stored.

use std::fmt;
use std::fs;

use bamboospur_settings::KeyHash;

use crate::error::CtlError;

/// Environment variable with the operator's token, used when no file is given.
pub const TOKEN_VARIABLE: &str = "BAMBOOSPUR_TOKEN";

/// Operator's token. Its `Debug` output is redacted, so that it is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Returns the value of the `Authorization` header.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}

/// Reads the token from the file, or from the environment if there is no file.
pub fn read_token(file: Option<&str>) -> Result<Token, CtlError> {
    let text = match file {
        Some(file) => read_text_file(file)?,
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

/// Returns the hash of the secret in a file. Spaces around the secret are removed.
pub fn hash_secret_file(file: &str) -> Result<KeyHash, CtlError> {
    let text = read_text_file(file)?;
    let secret = text.trim();
    if secret.len() < 16 {
        let message =
            format!("the secret in {file} has less than 16 characters: make a longer one");
        return Err(CtlError::Usage(message));
    }
    Ok(KeyHash::from_secret(secret))
}

fn read_text_file(file: &str) -> Result<String, CtlError> {
    fs::read_to_string(file)
        .map_err(|error| CtlError::Usage(format!("file {file} cannot be read: {error}")))
}
