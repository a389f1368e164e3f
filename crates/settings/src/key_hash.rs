//! SHA-256 of a secret, which the tree holds instead of the secret.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of some bytes.
#[must_use]
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// SHA-256 of a team's key or an operator's token.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct KeyHash([u8; 32]);

impl PartialEq for KeyHash {
    /// Compares in constant time, so that the time to an answer reveals nothing
    /// about a stored hash.
    fn eq(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        let differing = pairs.fold(0, |bits, (a, b)| bits | (a ^ b));
        std::hint::black_box(differing) == 0
    }
}

impl KeyHash {
    /// Hashes a secret.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(sha256(secret.as_bytes()))
    }

    /// Returns the bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(redacted)")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Text that is not a hash of 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKeyHashError;

impl fmt::Display for ParseKeyHashError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key is stored as its SHA-256 in 64 hexadecimal digits")
    }
}

impl Error for ParseKeyHashError {}

impl FromStr for KeyHash {
    type Err = ParseKeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseKeyHashError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyHashError)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 32]>::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
