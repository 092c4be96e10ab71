//! Keys, revisions and leases.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;

use super::wire::{
    Compare, DeleteResponse, Event, Header, KeyValue, Operation, OperationResponse, PutRequest,
    PutResponse, RangeRequest, RangeResponse, Relation, Target, TxnRequest, TxnResponse,
};

const MAX_EVENTS: usize = 20_000;

/// What the service keeps.
#[derive(Debug, Default)]
pub(super) struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    events: VecDeque<Event>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl_s: i64,
    ends_at: Instant,
}

impl Data {
    pub(super) fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let found = self.find(&request.key, &request.range_end);
        let limit = usize::try_from(request.limit)
            .ok()
            .filter(|limit| *limit > 0)
            .unwrap_or(usize::MAX);
        RangeResponse {
            header: self.header(),
            count: found.len() as i64,
            kvs: found.into_iter().take(limit).cloned().collect(),
        }
    }

    fn find(&self, key: &[u8], range_end: &[u8]) -> Vec<&KeyValue> {
        if range_end.is_empty() {
            return self.keys.get(key).into_iter().collect();
        }
        let end = match range_end {
            [0] => Bound::Unbounded,
            _ if range_end <= key => return Vec::new(),
            _ => Bound::Excluded(range_end),
        };
        self.keys
            .range::<[u8], _>((Bound::Included(key), end))
            .map(|(_, kv)| kv)
            .collect()
    }

    /// Runs a transaction at one new revision, if it writes anything.
    pub(super) fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let revision = self.revision + 1;
        let responses = operations
            .iter()
            .map(|operation| self.run(operation, revision))
            .collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |field: fn(&KeyValue) -> i64| kv.map_or(0, field);
        let order = match compare.target {
            Target::Version => number(|kv| kv.version).cmp(&compare.version),
            Target::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            Target::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            Target::Value => match kv {
                None => return false,
                Some(kv) => kv.value.cmp(&compare.value),
            },
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }

    fn run(&mut self, operation: &Operation, revision: i64) -> OperationResponse {
        match operation {
            Operation::Range(request) => OperationResponse::Range(self.range(request)),
            Operation::Put(request) => OperationResponse::Put(self.put(request, revision)),
            Operation::Delete(request) => {
                OperationResponse::Delete(self.delete(&request.key, &request.range_end, revision))
            }
        }
    }

    fn put(&mut self, request: &PutRequest, revision: i64) -> PutResponse {
        self.revision = revision;
        let old = self.keys.get(&request.key);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            value: request.value.clone(),
            lease: request.lease,
        };
        self.keys.insert(request.key.clone(), kv.clone());
        self.note(Event { kind: None, kv });
        PutResponse {
            header: self.header(),
        }
    }

    fn delete(&mut self, key: &[u8], range_end: &[u8], revision: i64) -> DeleteResponse {
        let keys = self
            .find(key, range_end)
            .into_iter()
            .map(|kv| kv.key.clone())
            .collect::<Vec<_>>();
        for key in &keys {
            self.revision = revision;
            self.keys.remove(key);
            self.note(deletion(key, revision));
        }
        DeleteResponse {
            header: self.header(),
            deleted: keys.len() as i64,
        }
    }

    fn note(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events in the range from `start_revision` on, with the revision up to which they go.
    pub(super) fn events_from(
        &self,
        start_revision: i64,
        key: &[u8],
        range_end: &[u8],
    ) -> (Vec<Event>, i64) {
        let events = self
            .events
            .iter()
            .rev()
            .take_while(|event| event.kv.mod_revision >= start_revision)
            .filter(|event| in_range(&event.kv.key, key, range_end))
            .cloned()
            .collect::<Vec<_>>();
        (events.into_iter().rev().collect(), self.revision)
    }

    pub(super) fn grant_lease(&mut self, id: i64, ttl_s: i64, now: Instant) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        let ends_at = now + seconds(ttl_s);
        self.leases.insert(id, Lease { ttl_s, ends_at });
        id
    }

    /// Extends a lease; 0 when there is none.
    pub(super) fn keep_lease(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends_at = now + seconds(lease.ttl_s);
        lease.ttl_s
    }

    pub(super) fn revoke_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self
            .keys
            .values()
            .filter(|kv| kv.lease == id)
            .map(|kv| kv.key.clone())
            .collect::<Vec<_>>();
        let revision = self.revision + 1;
        for key in keys {
            self.delete(&key, &[], revision);
        }
    }

    pub(super) fn end_leases(&mut self, now: Instant) {
        let ended = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect::<Vec<_>>();
        for id in ended {
            self.revoke_lease(id);
        }
    }
}

fn seconds(ttl_s: i64) -> Duration {
    Duration::from_secs(ttl_s.max(0).unsigned_abs())
}

fn in_range(candidate: &[u8], key: &[u8], range_end: &[u8]) -> bool {
    match range_end {
        [] => candidate == key,
        [0] => candidate >= key,
        _ => candidate >= key && candidate < range_end,
    }
}

fn deletion(key: &[u8], revision: i64) -> Event {
    let kv = KeyValue {
        key: key.to_vec(),
        create_revision: 0,
        mod_revision: revision,
        version: 0,
        value: Vec::new(),
        lease: 0,
    };
    Event {
        kind: Some("DELETE"),
        kv,
    }
}
