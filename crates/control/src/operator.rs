//! JSON types of the operators' API, described in docs/operator-api.md.
//!
//! Every answer carries the fields of [`ResponseMeta`]. A request names its operator by
//! `Authorization: Bearer TOKEN`; [`authorize`] finds the operator.

mod access;
mod answer;
mod force;
mod request;
mod view;

pub use access::{Action, AuthorizationError, AuthorizedOperator, authorize};
pub use answer::{
    ChangeResponse, DrainKind, DrainResponse, HistoryResponse, InForceResponse, LaggingInstance,
    MemberView, MembersResponse, ResponseMeta, StatusResponse, TreeResponse,
};
pub use force::{RevisionTracker, Router};
pub use request::{
    ApplyRequest, ChangeRequest, DrainRequest, MemberAction, MembersRequest, RequestError,
    RollbackRequest, paths,
};
pub use view::{change_response, read_tree};
