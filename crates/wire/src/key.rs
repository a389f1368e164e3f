//! HMAC keys derived from the secret of the fleet.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Size of a truncated HMAC.
pub const MAC_BYTES: usize = 16;

/// HMAC-SHA-256 key.
#[derive(Clone)]
pub struct FleetKey {
    mac: Hmac<Sha256>,
}

impl FleetKey {
    /// Creates the key of the fleet from its secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        // HMAC takes keys of any length; only a fixed-size MAC could fail.
        let empty = || Hmac::new(&hmac::digest::Key::<Hmac<Sha256>>::default());
        let mac = Hmac::new_from_slice(secret).unwrap_or_else(|_| empty());
        Self { mac }
    }

    /// Derives a key for the purpose that the parts, joined together, describe.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> Self {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        Self::new(&mac.finalize().into_bytes())
    }

    /// Returns the truncated HMAC of the parts joined together.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        let full = mac.finalize().into_bytes();
        std::array::from_fn(|at| full[at])
    }

    /// Verifies a truncated HMAC in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &[u8; MAC_BYTES]) -> bool {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac.verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(redacted)")
    }
}
