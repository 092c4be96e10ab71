//! Errors of requests without an answer.

use std::error::Error as _;

use displaydoc::Display;
use hyper_util::client::legacy::Error as ClientError;
use thiserror::Error;

/// Why no answer to a request was received.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have arrived but its answer was lost: {0}
    AnswerLost(String),
}

impl From<ClientError> for SendError {
    fn from(error: ClientError) -> Self {
        let text = with_sources(&error);
        if error.is_connect() || was_canceled(&error) {
            Self::NotSent(text)
        } else {
            Self::AnswerLost(text)
        }
    }
}

/// Returns whether the request never left the client's queue because its connection closed first.
fn was_canceled(error: &ClientError) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

fn with_sources(error: &ClientError) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
