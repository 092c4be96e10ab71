//! Queue of the requests that wait at one upstream.

use std::collections::BTreeMap;

use monsoonspread_model::{AdapterRef, CallerName, InstanceName, RequestClass};

use super::request_key::RequestKey;
use super::waiting_request::WaitingRequest;

/// Maximum number of callers whose virtual time is tracked; the lowest time is dropped first.
const MAX_CALLERS: usize = 512;
/// Granularity of the fairness order, in tokens: callers within one step count as equal.
const FAIR_TOKENS: u64 = 256;

/// A bounded queue that is fair between callers within a class and priority.
///
/// Fairness uses virtual time: each grant advances its caller's time by the expected number of
/// tokens, and the caller with the lowest time goes first.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    rows: Vec<WaitingRequest>,
    served_tokens: BTreeMap<CallerName, u64>,
    virtual_time: u64,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Number of waiting requests of `class`.
    pub fn count(&self, class: RequestClass) -> usize {
        self.rows
            .iter()
            .filter(|row| row.request.class == class)
            .count()
    }

    /// Every waiting request, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.rows.iter()
    }

    /// The waiting request `key`.
    pub fn get(&self, key: &RequestKey) -> Option<&WaitingRequest> {
        self.rows.iter().find(|row| row.key == *key)
    }

    /// Whether a request waits for `adapter`.
    pub fn has_waiting_for(&self, adapter: &AdapterRef) -> bool {
        self.rows.iter().any(|row| row.request.adapter == *adapter)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.rows.push(waiting);
    }

    /// Removes and returns the request `key`.
    pub fn remove(&mut self, key: &RequestKey) -> Option<WaitingRequest> {
        let index = self.rows.iter().position(|row| row.key == *key)?;
        Some(self.rows.remove(index))
    }

    /// Removes and returns every request for which `condition` holds.
    pub fn remove_where(
        &mut self,
        condition: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        self.rows.extract_if(.., |row| condition(row)).collect()
    }

    /// Removes and returns every request.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.rows)
    }

    /// Removes every request of an instance.
    pub fn remove_instance(&mut self, instance: &InstanceName) {
        self.rows.retain(|row| row.key.instance != *instance);
    }

    /// The request to shed first: lowest priority, then the caller with the most waiting
    /// requests, then the newest.
    pub fn shed_candidate(&self) -> Option<&WaitingRequest> {
        let mut waiting: BTreeMap<&CallerName, usize> = BTreeMap::new();
        for row in &self.rows {
            *waiting.entry(&row.request.caller).or_default() += 1;
        }
        self.rows.iter().max_by_key(|row| {
            let of_caller = waiting.get(&row.request.caller);
            (u8::MAX - row.request.priority, of_caller, row.since)
        })
    }

    /// Number of waiting requests of `caller`.
    pub fn of_caller(&self, caller: &CallerName) -> usize {
        self.rows
            .iter()
            .filter(|row| row.request.caller == *caller)
            .count()
    }

    /// The request that goes first among those for which `condition` holds: highest priority,
    /// then the caller served least, then an adapter that the batch already runs, then the
    /// earliest deadline.
    pub fn first_where(
        &self,
        condition: impl Fn(&WaitingRequest) -> bool,
        in_batch: impl Fn(&AdapterRef) -> bool,
    ) -> Option<&WaitingRequest> {
        self.rows
            .iter()
            .filter(|row| condition(row))
            .min_by_key(|row| {
                (
                    u8::MAX - row.request.priority,
                    self.caller_time(&row.request.caller) / FAIR_TOKENS,
                    !in_batch(&row.request.adapter),
                    row.request.deadline_unix_ms,
                )
            })
    }

    /// Advances the caller's virtual time by a grant.
    pub fn on_granted(&mut self, caller: &CallerName, tokens: u32) {
        let start = self.caller_time(caller);
        self.virtual_time = start;
        self.served_tokens
            .insert(caller.clone(), start + u64::from(tokens.max(1)));
        if self.served_tokens.len() > MAX_CALLERS {
            self.forget_least_served();
        }
    }

    /// The caller's virtual time, at least the queue's, so that idle callers gain no credit.
    fn caller_time(&self, caller: &CallerName) -> u64 {
        self.served_tokens
            .get(caller)
            .map_or(self.virtual_time, |time| (*time).max(self.virtual_time))
    }

    fn forget_least_served(&mut self) {
        let least = self
            .served_tokens
            .iter()
            .min_by_key(|(_, time)| **time)
            .map(|(caller, _)| caller.clone());
        if let Some(caller) = least {
            self.served_tokens.remove(&caller);
        }
    }
}
