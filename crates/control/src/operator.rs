//! JSON types of the operator API, described in docs/operator-api.md.
//!
//! Every answer includes the fields of [`ResponseMeta`]. A request authenticates with
//! `Authorization: Bearer TOKEN`; [`authorize`] finds the operator of the token.

mod access;
mod answer;
mod request;
mod revision_tracker;
mod view;

pub use access::{Action, AuthorizationError, AuthorizedOperator, authorize};
pub use answer::{
    ChangeResponse, DrainKind, DrainResponse, HistoryResponse, InForceResponse, LaggingInstance,
    MemberView, MembersResponse, ResponseMeta, StatusResponse, TreeResponse,
};
pub use request::{
    ApplyRequest, ChangeRequest, DrainRequest, MemberAction, MembersRequest, RequestError,
    RollbackRequest, paths,
};
pub use revision_tracker::{RevisionTracker, Router};
pub use view::{change_response, read_tree};
