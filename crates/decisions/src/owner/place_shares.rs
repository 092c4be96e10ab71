//! Limits on the batch places of each request class.

use monsoonspread_model::RequestClass;

use super::OwnerSettings;

/// Limits on the batch places of each class at one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PlaceShares {
    /// Maximum number of places in use.
    pub total: u32,
    /// Places reserved for short requests.
    pub short_reserve: u32,
    /// Maximum places of long requests while other requests wait.
    pub long: u32,
    /// Maximum places of long requests while nothing else waits.
    pub long_idle: u32,
}

impl PlaceShares {
    /// Derives the limits for `total` places.
    pub fn new(total: u32, settings: &OwnerSettings) -> Self {
        let short_reserve = match total {
            0 | 1 => 0,
            _ => share(total, settings.short_reserve).max(1),
        };
        let open = total - short_reserve;
        let long = share(total, settings.long_share).clamp(1, open.max(1));
        Self {
            total,
            short_reserve,
            long,
            long_idle: share(total, settings.long_idle_share).clamp(long, open.max(long)),
        }
    }

    /// Whether one more request of `class` fits when `used` places are taken, by class.
    pub fn admits(&self, class: RequestClass, used: [u32; 3], others_wait: bool) -> bool {
        let total: u32 = used.iter().sum();
        if total >= self.total {
            return false;
        }
        let long = used[RequestClass::Long as usize];
        let open = self.total - self.short_reserve;
        // Short requests fill the reserve first; only those beyond it count against open places.
        let short = used[RequestClass::Short as usize];
        let open_used = total - short.min(self.short_reserve);
        match class {
            RequestClass::Short => true,
            RequestClass::Ordinary => open_used < open,
            RequestClass::Long => open_used < open && long < self.long_limit(others_wait),
        }
    }

    /// Maximum number of places that requests of `class` can hold together, at least 1.
    pub fn max_for(&self, class: RequestClass) -> u32 {
        match class {
            RequestClass::Short => self.total,
            RequestClass::Ordinary => self.total - self.short_reserve,
            RequestClass::Long => self.long,
        }
        .max(1)
    }

    fn long_limit(&self, others_wait: bool) -> u32 {
        if others_wait {
            self.long
        } else {
            self.long_idle
        }
    }
}

fn share(total: u32, part: f64) -> u32 {
    (f64::from(total) * part) as u32
}
