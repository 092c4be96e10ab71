//! Authentication by API key.

use async_trait::async_trait;
use monsoonspread_model::{Refusal, RefusalReason};

use super::{Exchange, Filter, Step};

/// Identifies the caller by the API key in the `authorization` header.
#[derive(Default)]
pub struct AuthenticateFilter;

impl AuthenticateFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for AuthenticateFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let refused = |message: &str| Refusal::not_run(RefusalReason::Unauthenticated, message);
        let key = exchange
            .header("authorization")
            .ok_or_else(|| refused("no API key was sent; use \"Authorization: Bearer KEY\""))?;
        let key = key
            .split_once(' ')
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim())
            .ok_or_else(|| refused("the authorization is not of the form \"Bearer KEY\""))?;
        let caller = exchange
            .bundle
            .caller_for_key(key)
            .ok_or_else(|| refused("the API key is not known"))?
            .clone();
        exchange.caller = Some(caller);
        Ok(Step::Next)
    }
}
