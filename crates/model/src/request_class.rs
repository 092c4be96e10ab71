//! Request classes by expected run time.

use serde::{Deserialize, Serialize};

/// The expected run time of a request, which determines which requests it may queue behind.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A short answer to an interactive request.
    Short,
    /// An answer of usual length.
    #[default]
    Ordinary,
    /// An answer many times longer than usual.
    Long,
}

impl RequestClass {
    /// All classes, shortest first.
    pub const ALL: [RequestClass; 3] = [
        RequestClass::Short,
        RequestClass::Ordinary,
        RequestClass::Long,
    ];

    /// Maximum number of tokens of a short answer.
    pub const SHORT_MAX_TOKENS: u32 = 64;
    /// Minimum number of tokens of a long answer.
    pub const LONG_MIN_TOKENS: u32 = 512;

    /// Classifies a request by the number of tokens that it is expected to generate.
    ///
    /// ```
    /// # use monsoonspread_model::RequestClass;
    /// assert_eq!(RequestClass::of_tokens(16), RequestClass::Short);
    /// assert_eq!(RequestClass::of_tokens(2_000), RequestClass::Long);
    /// ```
    pub fn of_tokens(tokens: u32) -> Self {
        match tokens {
            0..=Self::SHORT_MAX_TOKENS => Self::Short,
            Self::LONG_MIN_TOKENS.. => Self::Long,
            _ => Self::Ordinary,
        }
    }

    /// Returns the name used in settings, logs and reports.
    ///
    /// ```
    /// # use monsoonspread_model::RequestClass;
    /// assert_eq!(RequestClass::Long.as_str(), "long");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Ordinary => "ordinary",
            Self::Long => "long",
        }
    }
}
