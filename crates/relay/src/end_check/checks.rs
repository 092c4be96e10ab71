//! The checks of all processes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use monsoonspread_model::fleet::UpstreamRecord;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::process_checks::ProcessChecks;

/// The checks of all processes, by the upstream's name and its start time.
#[derive(Default)]
pub struct EndChecks {
    processes: RefCell<BTreeMap<(UpstreamName, u64), Rc<ProcessChecks>>>,
}

impl EndChecks {
    /// Returns the checks of a process.
    pub(super) fn of(&self, now: UnixMs, upstream: &UpstreamRecord) -> Rc<ProcessChecks> {
        let key = (upstream.name.clone(), upstream.started_unix_ms);
        let mut processes = self.processes.borrow_mut();
        if let Some(checks) = processes.get(&key) {
            return Rc::clone(checks);
        }
        processes.retain(|_, checks| Rc::strong_count(checks) > 1 || checks.is_counted(now));
        Rc::clone(processes.entry(key).or_default())
    }
}
