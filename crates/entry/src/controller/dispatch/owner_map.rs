//! Owners of upstreams.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UpstreamName};

/// Current owner of each upstream of the region, as far as this instance knows.
pub type OwnerMap = BTreeMap<UpstreamName, InstanceName>;
