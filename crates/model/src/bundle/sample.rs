//! A sample bundle for demos and tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{AdapterEntry, Bundle, BundleVersion, CallEntry, CallerEntry, ServiceEntry, digest};
use crate::{AdapterName, CallerName, ServiceName};

/// Base model of the sample's adapters.
const BASE_MODEL: &str = "base-8b";
/// Timeout for calls of the sample's services, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of requests in flight per sample caller and entry instance.
const MAX_IN_FLIGHT: u32 = 4_096;

/// A caller of the sample bundle, with its API key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SampleCaller {
    /// Name of the caller.
    pub name: &'static str,
    /// API key in plain text.
    pub key: &'static str,
    /// The caller's only group, which is also the name prefix of its adapters.
    pub group: &'static str,
    priority: u8,
}

/// The caller of the `needle` adapters and the `records` service.
pub const SAMPLE_BENCH: SampleCaller = SampleCaller {
    name: "bench",
    key: "sample-bench-key",
    group: "needle",
    priority: 2,
};

/// The caller of the `verse` adapters and the `calendar` service.
pub const SAMPLE_CARDS: SampleCaller = SampleCaller {
    name: "cards",
    key: "sample-cards-key",
    group: "verse",
    priority: 0,
};

impl Bundle {
    /// Builds a bundle of `adapters` adapters and two callers, each with half of the adapters and
    /// one plain service.
    ///
    /// The adapters are `needle-0000`, `verse-0001`, `needle-0002` and so on, in versions 1 and 2.
    ///
    /// ```
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// let bundle = Bundle::sample(BundleVersion(1), 3_000);
    /// assert_eq!(bundle.adapters.len(), 3_000);
    /// ```
    pub fn sample(version: BundleVersion, adapters: usize) -> Self {
        Self {
            version,
            base_models: vec![BASE_MODEL.into()],
            adapters: (0..adapters).map(sample_adapter).collect(),
            callers: [SAMPLE_BENCH, SAMPLE_CARDS].map(sample_caller).into(),
            services: BTreeMap::from([
                sample_service("records", SAMPLE_BENCH, ["read-offset", "commit-offset"]),
                sample_service("calendar", SAMPLE_CARDS, ["read-date", "dispatch-card"]),
            ]),
        }
    }

    /// Returns the name of adapter `number` of the sample, counted from 0.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// assert_eq!(Bundle::sample_adapter_name(1).as_str(), "verse-0001");
    /// ```
    pub fn sample_adapter_name(number: usize) -> AdapterName {
        format!("{}-{number:04}", caller_of_sample_adapter(number).group).into()
    }
}

fn caller_of_sample_adapter(number: usize) -> SampleCaller {
    if number.is_multiple_of(2) {
        return SAMPLE_BENCH;
    }
    SAMPLE_CARDS
}

fn sample_adapter(number: usize) -> (AdapterName, AdapterEntry) {
    let entry = AdapterEntry {
        base_model: BASE_MODEL.into(),
        versions: vec![1, 2],
        default_version: 2,
        group: Arc::from(caller_of_sample_adapter(number).group),
        priority: 3,
    };
    (Bundle::sample_adapter_name(number), entry)
}

fn sample_caller(caller: SampleCaller) -> (CallerName, CallerEntry) {
    let entry = CallerEntry {
        key_sha256: digest(caller.key.as_bytes()),
        groups: vec![Arc::from(caller.group)],
        priority: caller.priority,
        max_in_flight: MAX_IN_FLIGHT,
    };
    (caller.name.into(), entry)
}

/// Builds a service with one repeatable and one non-repeatable call.
fn sample_service(
    name: &str,
    caller: SampleCaller,
    [read, commit]: [&str; 2],
) -> (ServiceName, ServiceEntry) {
    let call = |repeatable| CallEntry {
        repeatable,
        timeout_ms: CALL_TIMEOUT_MS,
    };
    let entry = ServiceEntry {
        group: Arc::from(caller.group),
        calls: BTreeMap::from([
            (Arc::from(read), call(true)),
            (Arc::from(commit), call(false)),
        ]),
    };
    (name.into(), entry)
}
