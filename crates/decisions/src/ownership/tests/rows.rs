//! Instance names and list rows of the test zone.

use monsoonspread_model::{
    InstanceKind, InstanceName, InstanceState, ListedInstance, UpstreamName,
};

pub fn name(index: usize) -> InstanceName {
    format!("entry-{index}").into()
}

pub fn upstream(index: usize) -> UpstreamName {
    format!("engine-{index}").into()
}

pub fn row(name: String, kind: InstanceKind) -> ListedInstance {
    ListedInstance {
        name,
        kind,
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        state: InstanceState::Live,
        service: None,
        checks_fencing: false,
        adapter_slots: 4,
        batch_places: 8,
    }
}
