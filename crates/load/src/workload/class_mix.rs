//! How long requests run and by when they must begin to answer.

use monsoonspread_model::RequestClass;

use monsoonspread_model::toml_check::TableReader;

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
    pub(super) fn read(class: RequestClass, table: &TableReader<'_>) -> Option<Self> {
        let share = table.float("share", 0.0..=1.0);
        let min_tokens = table.integer("min_tokens", 1..=100_000);
        let max_tokens = table.integer("max_tokens", 1..=100_000);
        let prompt_tokens = table.integer("prompt_tokens", 1..=100_000);
        let deadline_ms = table.integer("deadline_ms", 1..=600_000);
        let mix = Self {
            class,
            share: share?,
            min_tokens: min_tokens?,
            max_tokens: max_tokens?,
            prompt_tokens: prompt_tokens?,
            deadline_ms: deadline_ms?,
        };
        if mix.min_tokens > mix.max_tokens {
            table.finding("min_tokens", "must not be above max_tokens");
        }
        let of_class = |tokens: u64| RequestClass::of_tokens(tokens as u32) == class;
        if !of_class(mix.min_tokens) || !of_class(mix.max_tokens) {
            table.finding("max_tokens", "does not belong to this class");
        }
        Some(mix)
    }
}
