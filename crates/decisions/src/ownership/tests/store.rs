//! A fake key-value service that holds one table.

use monsoonspread_model::{OwnershipTable, Succession};

use crate::ownership::WriteResult;

/// A compare-and-swap write to execute.
#[derive(Clone, Debug)]
pub struct Write {
    pub table: OwnershipTable,
    pub expected_mod_revision: u64,
}

/// Holds the table and asserts that each written table is a valid successor of the last.
#[derive(Default)]
pub struct FakeStore {
    pub current: Option<(OwnershipTable, u64)>,
    pub down: bool,
    revision: u64,
}

impl FakeStore {
    pub fn write(&mut self, write: &Write) -> WriteResult {
        let found = self.current.as_ref().map_or(0, |(_, revision)| *revision);
        if found != write.expected_mod_revision {
            return WriteResult::Conflict {
                current: self.current.clone(),
            };
        }
        self.check(&write.table);
        self.revision += 1;
        self.current = Some((write.table.clone(), self.revision));
        WriteResult::Written {
            mod_revision: self.revision,
        }
    }

    fn check(&self, next: &OwnershipTable) {
        for (upstream, order) in &next.upstreams {
            assert!(order.is_sorted_by(|a, b| a.epoch < b.epoch), "{order:?}");
            assert!(order.iter().all(|place| place.epoch < next.next_epoch));
            let Some((last, _)) = &self.current else {
                continue;
            };
            assert!(next.revision > last.revision, "revision decreased");
            let reissued = |place: &Succession| {
                let old = last.order_of(upstream).iter().any(|old| old == place);
                !old && place.epoch < last.next_epoch
            };
            assert!(
                !order.iter().any(reissued),
                "an old number was issued again"
            );
            let head = last.order_of(upstream).first();
            assert!(head.is_none_or(|head| head.epoch <= order[0].epoch));
        }
    }
}
