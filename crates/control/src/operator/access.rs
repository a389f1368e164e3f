//! Authorisation of operators by role.

use bamboospur_settings::{BranchName, KeyHash, Role, Tree};
use bamboospur_types::ResultCode;
use quick_error::quick_error;

/// Action that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads settings (secrets redacted), status, members and history.
    Read,
    /// Reads settings including the hashes of keys.
    ReadSecrets,
    /// Changes a branch.
    Change(BranchName),
    /// Drains a target or an instance.
    Drain,
    /// Changes the members of the control group.
    Members,
}

impl Action {
    /// Returns the lowest role that may perform this action.
    #[must_use]
    pub const fn required_role(&self) -> Role {
        match self {
            Self::Read => Role::Viewer,
            Self::Change(BranchName::Team(_)) | Self::Drain => Role::Editor,
            Self::ReadSecrets | Self::Change(BranchName::Fleet) | Self::Members => Role::Admin,
        }
    }
}

/// Operator who may perform the requested action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorizedOperator {
    /// Name recorded in the audit trail.
    pub operator: String,
    /// Role in the settings; admin for the bootstrap token.
    pub role: Role,
}

quick_error! {
    /// Reason why an action is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum AuthorizationError {
        /// No operator has this token.
        UnknownToken {
            display("no operator has this token: send Authorization: Bearer TOKEN")
        }
        /// The operator's role does not allow the action.
        InsufficientRole { operator: String, has: Role, needs: Role } {
            display("operator {operator} has role {has} and this needs role {needs}: ask an admin")
        }
    }
}

impl AuthorizationError {
    /// Returns the result code of the answer.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::UnknownToken => ResultCode::Unauthenticated,
            Self::InsufficientRole { .. } => ResultCode::OperatorForbidden,
        }
    }
}

/// Finds the operator of a token and checks that the role allows the action.
///
/// `bootstrap` is the token hash from the instance's own settings. The token has
/// the admin role while the tree has no operators, so that the first operator can
/// be added.
///
/// # Errors
///
/// Returns an error when no operator has the token, or when the operator's role
/// does not allow the action.
pub fn authorize(
    tree: &Tree,
    token: &KeyHash,
    bootstrap: Option<&KeyHash>,
    action: &Action,
) -> Result<AuthorizedOperator, AuthorizationError> {
    let found = find_operator(tree, token, bootstrap).ok_or(AuthorizationError::UnknownToken)?;
    if found.role >= action.required_role() {
        return Ok(found);
    }
    Err(AuthorizationError::InsufficientRole {
        operator: found.operator,
        has: found.role,
        needs: action.required_role(),
    })
}

fn find_operator(
    tree: &Tree,
    token: &KeyHash,
    bootstrap: Option<&KeyHash>,
) -> Option<AuthorizedOperator> {
    if let Some((name, operator)) = tree.operator_by_token(token) {
        return Some(AuthorizedOperator {
            operator: name.to_owned(),
            role: operator.role,
        });
    }
    let is_bootstrap = tree.fleet().operators.is_empty() && bootstrap == Some(token);
    is_bootstrap.then(|| AuthorizedOperator {
        operator: "bootstrap".to_owned(),
        role: Role::Admin,
    })
}
