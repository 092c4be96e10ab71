//! Outstanding grants of one upstream.

use std::collections::{BTreeMap, HashMap};

use monsoonspread_model::message::GrantId;
use monsoonspread_model::{AdapterRef, CopyName, InstanceName, RequestClass, UnixMs};

use super::outstanding_grant::OutstandingGrant;
use super::request_key::RequestKey;

/// Every grant that has not been returned. Pins are derived from these grants.
#[derive(Debug, Default)]
pub(super) struct Grants {
    rows: BTreeMap<GrantId, OutstandingGrant>,
    by_request: HashMap<RequestKey, GrantId>,
    places: [u32; RequestClass::ALL.len()],
}

impl Grants {
    /// Batch places in use, by class.
    pub fn places(&self) -> [u32; RequestClass::ALL.len()] {
        self.places
    }

    /// Batch places in use.
    pub fn places_used(&self) -> u32 {
        self.places.iter().sum()
    }

    /// Every grant.
    pub fn iter(&self) -> impl Iterator<Item = (&GrantId, &OutstandingGrant)> {
        self.rows.iter()
    }

    /// Number of grants that have not been returned.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// The grant called `id`.
    pub fn get(&self, id: GrantId) -> Option<&OutstandingGrant> {
        self.rows.get(&id)
    }

    /// The grant given to a request.
    pub fn of_request(&self, key: &RequestKey) -> Option<(GrantId, &OutstandingGrant)> {
        let id = *self.by_request.get(key)?;
        self.rows.get(&id).map(|grant| (id, grant))
    }

    /// Adds a grant, unless one with this identity exists.
    pub fn insert(&mut self, id: GrantId, grant: OutstandingGrant) {
        if self.rows.contains_key(&id) {
            return;
        }
        if grant.holds_place {
            self.places[grant.class as usize] += 1;
        }
        self.by_request.insert(grant.key.clone(), id);
        self.rows.insert(id, grant);
    }

    /// Removes a grant and releases its place.
    pub fn remove(&mut self, id: GrantId) -> Option<OutstandingGrant> {
        let grant = self.rows.remove(&id)?;
        if grant.holds_place {
            self.places[grant.class as usize] -= 1;
        }
        if self.by_request.get(&grant.key) == Some(&id) {
            self.by_request.remove(&grant.key);
        }
        Some(grant)
    }

    /// Number of requests that use a copy, including those whose grant expired.
    pub fn pins(&self, copy: &CopyName) -> usize {
        self.rows
            .values()
            .filter(|grant| grant.copy == *copy)
            .count()
    }

    /// Whether the batch runs `adapter`.
    pub fn runs(&self, adapter: &AdapterRef) -> bool {
        self.rows
            .values()
            .any(|grant| grant.holds_place && grant.copy.adapter == *adapter)
    }

    /// Releases the places of expired grants and keeps their pins. Returns their holders.
    pub fn expire(&mut self, now: UnixMs) -> Vec<InstanceName> {
        let mut holders = Vec::new();
        for grant in self.rows.values_mut() {
            if grant.expires_at > now || !grant.holds_place {
                continue;
            }
            free_place(&mut self.places, grant);
            holders.push(grant.key.instance.clone());
        }
        holders
    }

    /// Removes grants of removed holders that expired at least `after_ms` ago.
    pub fn remove_orphaned(
        &mut self,
        now: UnixMs,
        after_ms: u64,
    ) -> Vec<(GrantId, OutstandingGrant)> {
        self.remove_where(|grant| grant.holder_removed && grant.expires_at + after_ms <= now)
    }

    /// Releases the places of a removed holder's grants. Their pins stay, since a holder that was
    /// only paused may continue to use them.
    pub fn on_holder_removed(&mut self, holder: &InstanceName) {
        let held = self.rows.values_mut();
        for grant in held.filter(|grant| grant.key.instance == *holder) {
            free_place(&mut self.places, grant);
            grant.holder_removed = true;
        }
    }

    /// Removes grants that expired before the report was taken and whose copy it shows unused.
    pub fn on_report(
        &mut self,
        taken_at: UnixMs,
        margin_ms: u64,
        is_unused: impl Fn(&CopyName) -> bool,
    ) -> Vec<(GrantId, OutstandingGrant)> {
        self.remove_where(|grant| grant.expires_at + margin_ms < taken_at && is_unused(&grant.copy))
    }

    /// Converts the set into its grants.
    pub fn into_rows(self) -> BTreeMap<GrantId, OutstandingGrant> {
        self.rows
    }

    fn remove_where(
        &mut self,
        condition: impl Fn(&OutstandingGrant) -> bool,
    ) -> Vec<(GrantId, OutstandingGrant)> {
        let ids: Vec<GrantId> = self
            .rows
            .iter()
            .filter(|(_, grant)| condition(grant))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect()
    }
}

fn free_place(places: &mut [u32], grant: &mut OutstandingGrant) {
    if grant.holds_place {
        places[grant.class as usize] -= 1;
        grant.holds_place = false;
    }
}
