//! The grants of one upstream that have not been returned.

use std::collections::{BTreeMap, HashMap};

use monsoonspread_model::message::GrantId;
use monsoonspread_model::{CopyName, InstanceName, RequestClass, UnixMs};

use super::outstanding::Outstanding;
use super::request_key::RequestKey;

/// Every grant that has not been returned; pins are read off it.
#[derive(Debug, Default)]
pub(super) struct Grants {
    rows: BTreeMap<GrantId, Outstanding>,
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
    pub fn iter(&self) -> impl Iterator<Item = (&GrantId, &Outstanding)> {
        self.rows.iter()
    }

    /// Grants that have not been returned.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// The grant called `id`.
    pub fn get(&self, id: GrantId) -> Option<&Outstanding> {
        self.rows.get(&id)
    }

    /// The grant given to a request.
    pub fn of_request(&self, key: &RequestKey) -> Option<(GrantId, &Outstanding)> {
        let id = *self.by_request.get(key)?;
        self.rows.get(&id).map(|grant| (id, grant))
    }

    /// Adds a grant; one that is there already is left alone.
    pub fn insert(&mut self, id: GrantId, grant: Outstanding) {
        if self.rows.contains_key(&id) {
            return;
        }
        if grant.holds_place {
            self.places[grant.class as usize] += 1;
        }
        self.by_request.insert(grant.key.clone(), id);
        self.rows.insert(id, grant);
    }

    /// Removes a grant.
    pub fn remove(&mut self, id: GrantId) -> Option<Outstanding> {
        let grant = self.rows.remove(&id)?;
        if grant.holds_place {
            self.places[grant.class as usize] -= 1;
        }
        if self.by_request.get(&grant.key) == Some(&id) {
            self.by_request.remove(&grant.key);
        }
        Some(grant)
    }

    /// Requests that use a copy, including those whose grant lapsed.
    pub fn pins(&self, copy: &CopyName) -> usize {
        self.rows
            .values()
            .filter(|grant| grant.copy == *copy)
            .count()
    }

    /// Frees the places of grants that expired; their pins stay. Returns their holders.
    pub fn expire(&mut self, now: UnixMs) -> Vec<InstanceName> {
        let mut holders = Vec::new();
        for grant in self.rows.values_mut() {
            if grant.expires_at > now || !grant.holds_place {
                continue;
            }
            free_place(&mut self.places, grant);
            grant.lapsed_at = Some(now);
            holders.push(grant.key.instance.clone());
        }
        self.drop_dead(now);
        holders
    }

    /// Frees the places of grants whose holder is gone; their pins stay until proved unused.
    pub fn on_holder_gone(&mut self, holder: &InstanceName, now: UnixMs) {
        for grant in self.rows.values_mut() {
            if grant.key.instance != *holder || grant.holder_gone {
                continue;
            }
            free_place(&mut self.places, grant);
            grant.holder_gone = true;
            grant.lapsed_at = Some(now);
        }
        self.drop_dead(now);
    }

    /// Drops lapsed grants on `copy`, which a report taken at `taken_at` shows unused.
    pub fn on_unused(&mut self, copy: &CopyName, taken_at: UnixMs, margin_ms: u64) {
        self.remove_where(|grant| {
            grant.copy == *copy && grant.lapsed_at.is_some_and(|at| at + margin_ms < taken_at)
        });
    }

    /// Every grant, owned.
    pub fn into_rows(self) -> BTreeMap<GrantId, Outstanding> {
        self.rows
    }

    /// Drops grants that have both expired and lost their holder.
    fn drop_dead(&mut self, now: UnixMs) {
        self.remove_where(|grant| grant.holder_gone && grant.expires_at <= now);
    }

    fn remove_where(&mut self, condition: impl Fn(&Outstanding) -> bool) {
        let ids: Vec<GrantId> = self
            .rows
            .iter()
            .filter(|(_, grant)| condition(grant))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.remove(id);
        }
    }
}

fn free_place(places: &mut [u32], grant: &mut Outstanding) {
    if grant.holds_place {
        places[grant.class as usize] -= 1;
        grant.holds_place = false;
    }
}
