//! Wire type of client requests.

use bamboospur_agreement::MemberChange;
use bamboospur_claims::ClaimKey;
use bamboospur_orders::{FencingToken, OrderResult};
use bamboospur_settings::Revision;
use bamboospur_types::TargetId;
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::command::Command;
use crate::member::Request;
use crate::wire::claim::WireClaimKey;
use crate::wire::command::WireCommand;
use crate::wire::engine::{self, WireReport};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireRequest {
    Command(WireCommand),
    Watch(WireClaimKey),
    Read,
    Members(MemberChange),
    Changes(Revision),
    Routers,
    Engines(
        Vec<(TargetId, WireReport)>,
        Vec<(TargetId, FencingToken, OrderResult)>,
    ),
}

impl TryFrom<&Request> for WireRequest {
    type Error = CodecError;

    fn try_from(request: &Request) -> Result<Self, Self::Error> {
        Ok(match request {
            Request::Command(command) => Self::Command(command.try_into()?),
            Request::Watch { key } => Self::Watch(key.into()),
            Request::Read => Self::Read,
            Request::Members(change) => Self::Members(*change),
            Request::Changes { since } => Self::Changes(*since),
            Request::Routers => Self::Routers,
            Request::Engines { reports, ended } => {
                Self::Engines(engine::reports_to_wire(reports), ended.clone())
            }
        })
    }
}

impl TryFrom<WireRequest> for Request {
    type Error = CodecError;

    fn try_from(wire: WireRequest) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireRequest::Command(command) => Self::Command(Command::try_from(command)?),
            WireRequest::Watch(key) => Self::Watch {
                key: ClaimKey::from(key),
            },
            WireRequest::Read => Self::Read,
            WireRequest::Members(change) => Self::Members(change),
            WireRequest::Changes(since) => Self::Changes { since },
            WireRequest::Routers => Self::Routers,
            WireRequest::Engines(reports, ended) => Self::Engines {
                reports: engine::reports_from_wire(reports)?,
                ended,
            },
        })
    }
}
