//! How long requests run and by when they must begin to answer.

use monsoonspread_model::RequestClass;

use super::Section;

/// The requests of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassMix {
    /// The class.
    pub class: RequestClass,
    /// Share of the requests.
    pub share: f64,
    /// Fewest tokens generated.
    pub min_tokens: u64,
    /// Most tokens generated.
    pub max_tokens: u64,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// From arrival to the first token at the latest.
    pub deadline_ms: u64,
}

impl ClassMix {
    pub(super) fn read(class: RequestClass, section: Section<'_>) -> Self {
        let mix = Self {
            class,
            share: section.number("share", 0.0..=1.0),
            min_tokens: section.whole("min_tokens", 1..=100_000),
            max_tokens: section.whole("max_tokens", 1..=100_000),
            prompt_tokens: section.whole("prompt_tokens", 1..=100_000),
            deadline_ms: section.whole("deadline_ms", 1..=600_000),
        };
        if mix.min_tokens > mix.max_tokens {
            section.fault("min_tokens", "must not be above max_tokens");
        }
        let of_class = |tokens: u64| RequestClass::of_tokens(tokens as u32) == class;
        if !of_class(mix.min_tokens) || !of_class(mix.max_tokens) {
            section.fault("max_tokens", "does not belong to this class");
        }
        section.finish();
        mix
    }
}
