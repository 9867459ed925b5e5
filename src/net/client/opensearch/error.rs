//! Errors of the search API for invalid requests.
//!
//! Statuses, types and texts are part of the API.

use crate::config::Deployment;
use crate::net::client::connection_error::ConnectionError;
use std::fmt;
use std::str::Utf8Error;
use thiserror::Error;

/// Limit on `from` plus `size`, as in OpenSearch.
pub(super) const MAX_RESULT_WINDOW: u64 = 10_000;

/// Kind of operation that an index supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net::client) enum OperationKind {
    Search,
    Create,
}

impl fmt::Display for OperationKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            OperationKind::Search => "searches",
            OperationKind::Create => "creates with an id",
        })
    }
}

/// Reason for rejecting an invalid request.
#[derive(Debug, Error)]
pub(in crate::net::client) enum SearchError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("not a request")]
    NotARequest,
    #[error("the path is not UTF-8")]
    PathNotUtf8(#[source] Utf8Error),
    #[error("Incorrect HTTP method for uri [{target}] and method [{method}]")]
    MethodNotAllowed { method: String, target: String },
    #[error("no handler found for uri [{target}] and method [{method}]")]
    UnknownPath { method: String, target: String },
    #[error("no such index [{index}]")]
    UnknownIndex { index: String },
    #[error("index [{index}] takes only {supported}")]
    WrongOperation {
        index: String,
        supported: OperationKind,
    },
    #[error("failed to parse value [{value}] of parameter [{name}]")]
    InvalidParameter { name: String, value: String },
    #[error("request contains unrecognized parameter: [{name}={value}]")]
    UnknownParameter { name: String, value: String },
    #[error("the body is not UTF-8")]
    BodyNotUtf8(#[source] Utf8Error),
    #[error("the body is not a JSON object")]
    BodyNotAnObject,
    #[error("failed to parse field [{key}]")]
    InvalidField { key: String },
    #[error("unknown or unsupported key [{key}] in the search body")]
    UnknownField { key: String },
    #[error("Result window is too large, from + size must be at most [{MAX_RESULT_WINDOW}]")]
    WindowTooLarge,
    #[error("preference names no shard of the index, or stands beside routing")]
    InvalidPreference,
    #[error("the number of shards is not set: name them by preference")]
    UnknownShardCount,
    #[error("id [{id}] is empty, too long or holds what an id may not")]
    InvalidId { id: String },
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    /// The store, which has not been read, may hold settings by which the request is valid.
    #[error("the settings in the store have not been read yet")]
    SettingsUnread,
}

impl SearchError {
    /// Returns the HTTP status of the error response.
    pub(in crate::net::client) fn status(&self) -> u16 {
        match self {
            SearchError::Connection(error) => error.status(),
            SearchError::MethodNotAllowed { .. } => 405,
            SearchError::UnknownIndex { .. } => 404,
            SearchError::SettingsUnread => 503,
            _ => 400,
        }
    }

    /// Returns the error to send while the settings in use may be outdated: a request that other settings may allow is refused, so
    /// that its client tries again.
    pub(super) fn by_settings(self, deployment: &Deployment) -> SearchError {
        match self {
            SearchError::UnknownIndex { .. }
            | SearchError::WrongOperation { .. }
            | SearchError::UnknownTenant
                if deployment.is_store_unread() =>
            {
                SearchError::SettingsUnread
            }
            error => error,
        }
    }

    /// Returns the error type in the API, such as `parsing_exception`.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            SearchError::Connection(error) => match error {
                ConnectionError::Malformed(_) => "illegal_argument_exception",
                ConnectionError::RequestTimeout => "timeout_exception",
                ConnectionError::TooManyLargeRequests | ConnectionError::TooManyClients => {
                    "rejected_execution_exception"
                }
            },
            SearchError::MethodNotAllowed { .. } => "method_not_allowed_exception",
            SearchError::UnknownIndex { .. } => "index_not_found_exception",
            SearchError::SettingsUnread => "rejected_execution_exception",
            SearchError::BodyNotAnObject | SearchError::UnknownField { .. } => "parsing_exception",
            _ => "illegal_argument_exception",
        }
    }
}
