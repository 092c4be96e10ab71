//! Routes, upstreams and orders of a platform, independent of the platform's own formats.

mod adapter_key;
mod call_head;
mod caller_key;
mod holder_activity;
mod merit;
mod order;
mod presented_key;
mod rate_limit;
mod route;
mod routing_config;
mod token_quota;
mod upstream_record;
mod workspace;

pub use adapter_key::AdapterKey;
pub use call_head::{CallHead, PromptPart, SharedPrompt};
pub use caller_key::CallerKey;
pub use holder_activity::HolderActivity;
pub use merit::Merit;
pub use order::{Order, OrderAnswer, OrderKind};
pub use presented_key::PresentedKey;
pub use rate_limit::RateLimit;
pub use route::{RepeatRule, Route, RouteTarget};
pub use routing_config::{BaseModel, ClientLimits, EngineShape, RelayService, RoutingConfig};
pub use token_quota::{QuotaUnit, TokenQuota};
pub use upstream_record::{Holdings, UpstreamRecord, UpstreamStage};
pub use workspace::Workspace;
