//! Refusals: why a request was refused or failed, and whether it may have run.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::UnixMs;

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or invalid.
    BadRequest,
    /// The request carries no valid API key.
    Unauthenticated,
    /// The caller may not use the requested adapter or service.
    Forbidden,
    /// The adapter, version, service or path is not offered.
    NotFound,
    /// The method is not allowed on the path.
    MethodNotAllowed,
    /// The request was not received completely in time.
    RequestTimeout,
    /// The idempotency key is in use by a running call, or was used with another body.
    KeyConflict,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request has crashed upstreams and is not sent to any.
    Quarantined,
    /// The caller has too many requests in flight.
    CallerOverLimit,
    /// There is more work than can be finished in time.
    Overloaded,
    /// The deadline has passed or can't be met.
    DeadlineExceeded,
    /// The adapter could not be loaded in time.
    LoadFailed,
    /// No upstream or owner could be reached.
    Unavailable,
    /// The call needs the key-value service, which can't be reached.
    StoreUnavailable,
    /// The instance is draining before it stops.
    Draining,
    /// The upstream failed after it may have started the work.
    UpstreamFailed,
    /// The upstream answered with another adapter or version than requested.
    WrongAdapter,
    /// The work may have run, and its outcome is unknown.
    OutcomeUnknown,
}

impl RefusalReason {
    /// Returns the HTTP status for this reason.
    ///
    /// ```
    /// # use monsoonspread_model::RefusalReason;
    /// assert_eq!(RefusalReason::Overloaded.status(), 503);
    /// ```
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::KeyConflict => 409,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::CallerOverLimit => 429,
            Self::UpstreamFailed | Self::WrongAdapter | Self::OutcomeUnknown => 502,
            Self::DeadlineExceeded => 504,
            Self::Overloaded
            | Self::LoadFailed
            | Self::Unavailable
            | Self::StoreUnavailable
            | Self::Draining => 503,
        }
    }

    /// Returns the name used in answers, logs and metrics.
    ///
    /// ```
    /// # use monsoonspread_model::RefusalReason;
    /// assert_eq!(RefusalReason::KeyConflict.as_str(), "key_conflict");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::RequestTimeout => "request_timeout",
            Self::KeyConflict => "key_conflict",
            Self::BodyTooLarge => "body_too_large",
            Self::Quarantined => "quarantined",
            Self::CallerOverLimit => "caller_over_limit",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::LoadFailed => "load_failed",
            Self::Unavailable => "unavailable",
            Self::StoreUnavailable => "store_unavailable",
            Self::Draining => "draining",
            Self::UpstreamFailed => "upstream_failed",
            Self::WrongAdapter => "wrong_adapter",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// {message}
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub reason: RefusalReason,
    /// One sentence for the caller that names the adapter, service or upstream concerned.
    pub message: String,
    /// Whether the work certainly did not run; `false` if it may have run.
    pub not_run: bool,
    /// When the caller should retry; `None` if a retry is not expected to help.
    pub retry_at_unix_ms: Option<UnixMs>,
}

impl Refusal {
    /// Creates a refusal of work that certainly did not run.
    ///
    /// ```
    /// # use monsoonspread_model::{Refusal, RefusalReason};
    /// assert!(Refusal::not_run(RefusalReason::NotFound, "adapter \"x\" is not in bundle 12").not_run);
    /// ```
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            not_run: true,
            retry_at_unix_ms: None,
        }
    }

    /// Creates a refusal of work that may have run, completely or in part.
    ///
    /// ```
    /// # use monsoonspread_model::{Refusal, RefusalReason};
    /// assert!(!Refusal::may_have_run(RefusalReason::UpstreamFailed, "upstream \"a\" closed the stream").not_run);
    /// ```
    pub fn may_have_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets when the caller should retry.
    ///
    /// ```
    /// # use monsoonspread_model::{Refusal, RefusalReason, UnixMs};
    /// let refusal = Refusal::not_run(RefusalReason::Overloaded, "full").with_retry_at(UnixMs(5));
    /// assert_eq!(refusal.retry_at_unix_ms, Some(UnixMs(5)));
    /// ```
    #[must_use]
    pub fn with_retry_at(mut self, retry_at_unix_ms: UnixMs) -> Self {
        self.retry_at_unix_ms = Some(retry_at_unix_ms);
        self
    }
}
