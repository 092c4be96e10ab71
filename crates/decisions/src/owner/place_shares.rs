//! How many batch places each class may hold.

use monsoonspread_model::RequestClass;

use super::OwnerSettings;

/// The division of one upstream's batch between classes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PlaceShares {
    /// Places in use at most.
    pub total: u32,
    /// Places that only short work may take.
    pub short_reserve: u32,
    /// Places of long work while other work waits.
    pub long: u32,
    /// Places of long work while nothing else waits.
    pub long_idle: u32,
}

impl PlaceShares {
    /// Divides `total` places.
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

    /// Whether one more request of `class` fits beside those that hold `used` places.
    pub fn admits(&self, class: RequestClass, used: [u32; 3], others_wait: bool) -> bool {
        let total: u32 = used.iter().sum();
        if total >= self.total {
            return false;
        }
        let long = used[RequestClass::Long as usize];
        let open = self.total - self.short_reserve;
        // Short work beyond the reserve takes open places, so the reserve never shrinks twice.
        let short = used[RequestClass::Short as usize];
        let open_used = total - short.min(self.short_reserve);
        match class {
            RequestClass::Short => true,
            RequestClass::Ordinary => open_used < open,
            RequestClass::Long => open_used < open && long < self.long_limit(others_wait),
        }
    }

    /// Places that requests of `class` can hold together.
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
