//! Rights of operators.

use bamboospur_settings::{BranchName, KeyHash, Role, Tree};
use bamboospur_types::ResultCode;
use quick_error::quick_error;

/// What an operator wants to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads settings, status, members, history.
    Read,
    /// Reads settings with the hashes of keys.
    ReadSecrets,
    /// Changes a branch.
    Change(BranchName),
    /// Drains a target or an instance.
    Drain,
    /// Changes the members of the control group.
    Members,
}

impl Action {
    /// Returns the least role that may do this.
    #[must_use]
    pub const fn role(&self) -> Role {
        match self {
            Self::Read => Role::Viewer,
            Self::Change(BranchName::Team(_)) | Self::Drain => Role::Editor,
            Self::ReadSecrets | Self::Change(BranchName::Fleet) | Self::Members => Role::Admin,
        }
    }
}

/// Operator who may do what was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorizedOperator {
    /// Name for the audit trail.
    pub operator: String,
    /// Role.
    pub role: Role,
}

quick_error! {
    /// Why an operator may not do something.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum AuthorizationError {
        /// No operator has this token.
        Token {
            display("no operator has this token: send Authorization: Bearer TOKEN")
        }
        /// The operator's role does not include this.
        Role { operator: String, has: Role, needs: Role } {
            display("operator {operator} has role {has} and this needs role {needs}: ask an admin")
        }
    }
}

impl AuthorizationError {
    /// Returns the numbered result.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Token => ResultCode::Unauthenticated,
            Self::Role { .. } => ResultCode::OperatorForbidden,
        }
    }
}

/// Finds the operator of a token and checks the right to do something.
///
/// `initial` is the token hash from the instance's own settings. It is an
/// admin as long as the tree has no operators, so that the first one can be
/// added.
///
/// # Errors
///
/// Returns who lacks which role.
pub fn authorize(
    tree: &Tree,
    token: &KeyHash,
    initial: Option<&KeyHash>,
    action: &Action,
) -> Result<AuthorizedOperator, AuthorizationError> {
    let access = find(tree, token, initial).ok_or(AuthorizationError::Token)?;
    if access.role >= action.role() {
        return Ok(access);
    }
    Err(AuthorizationError::Role {
        operator: access.operator,
        has: access.role,
        needs: action.role(),
    })
}

fn find(tree: &Tree, token: &KeyHash, initial: Option<&KeyHash>) -> Option<AuthorizedOperator> {
    if let Some((name, operator)) = tree.operator_by_token(token) {
        return Some(AuthorizedOperator {
            operator: name.to_owned(),
            role: operator.role,
        });
    }
    let first = tree.fleet().operators.is_empty() && initial == Some(token);
    first.then(|| AuthorizedOperator {
        operator: "bootstrap".to_owned(),
        role: Role::Admin,
    })
}
