//! Routes, upstreams and orders of a platform, independent of the platform's own formats.

mod adapter_key;
mod call_head;
mod holder_activity;
mod order;
mod rate_limit;
mod route;
mod routing_config;
mod upstream_record;

pub use adapter_key::AdapterKey;
pub use call_head::{CallHead, PromptPart, SharedPrompt};
pub use holder_activity::HolderActivity;
pub use order::{Order, OrderAnswer, OrderKind};
pub use rate_limit::RateLimit;
pub use route::{RepeatRule, Route, RouteTarget};
pub use routing_config::{BaseModel, ClientLimits, EngineShape, RelayService, RoutingConfig};
pub use upstream_record::{Holdings, UpstreamRecord, UpstreamStage};
