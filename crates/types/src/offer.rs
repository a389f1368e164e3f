//! What an engine serves: a model, its version, and an optional adapter,
//! written `model@version+adapter`.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{OfferId, stable_id};

/// A served model with its version and adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Offer {
    /// Model name.
    pub model: String,
    /// Model version; empty when the engine names none.
    pub version: String,
    /// Adapter name, when one is applied.
    pub adapter: Option<String>,
}

impl Offer {
    /// Returns the id of this offer.
    #[must_use]
    pub fn id(&self) -> OfferId {
        stable_id(&self.to_string())
    }
}

impl fmt::Display for Offer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.model)?;
        if !self.version.is_empty() {
            write!(f, "@{}", self.version)?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        Ok(())
    }
}

/// An offer whose text form has an empty part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseOfferError {
    text: String,
}

impl fmt::Display for ParseOfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offer {:?} is not of the form model, model@version or model@version+adapter",
            self.text
        )
    }
}

impl Error for ParseOfferError {}

impl FromStr for Offer {
    type Err = ParseOfferError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseOfferError {
            text: text.to_owned(),
        };
        let (base, adapter) = match text.split_once('+') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (text, None),
        };
        let (model, version) = match base.split_once('@') {
            Some((model, version)) => (model, Some(version)),
            None => (base, None),
        };
        if model.is_empty() || version == Some("") || adapter == Some("") {
            return Err(error());
        }
        Ok(Self {
            model: model.to_owned(),
            version: version.unwrap_or_default().to_owned(),
            adapter: adapter.map(str::to_owned),
        })
    }
}

impl TryFrom<String> for Offer {
    type Error = ParseOfferError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Offer> for String {
    fn from(offer: Offer) -> Self {
        offer.to_string()
    }
}
