//! What an instance knows of the quota of one workspace.

use monsoonspread_model::UnixMs;
use serde::{Deserialize, Serialize};

use super::Role;

/// Latest time for which the denial of a primary issuer holds, in milliseconds: limits may be raised.
const MAX_DENIED_MS: u64 = 5_000;
/// The same for a backup issuer, in milliseconds, which issues more once it takes over.
const MAX_BACKUP_DENIED_MS: u64 = 300;

/// Decision on a request of a workspace with a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run; its cost is settled with the issuer later.
    Admitted,
    /// The issuer must be asked first.
    Ask,
    /// There is no credit before this time.
    Refused(UnixMs),
}

/// What an account reports to the primary issuer. The totals only grow, so a report that arrives twice
/// counts once.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Settlement {
    /// The part of `used` that an issuer confirmed before.
    #[serde(rename = "c")]
    pub confirmed: f64,
    /// Units used without asking, since the process started.
    #[serde(rename = "u")]
    pub used: f64,
    /// Units admitted in any way whose requests didn't run, since the process started.
    #[serde(rename = "r")]
    pub returned: f64,
    /// The part of `returned` that an issuer confirmed before.
    #[serde(rename = "d")]
    pub returns_confirmed: f64,
    /// Time since the first admission of the units that came back since then, in milliseconds.
    #[serde(rename = "a")]
    pub returns_age_ms: u64,
}

/// The account of a workspace at one instance.
///
/// A request that fits into the overdraft is admitted without a message.
#[derive(Clone, Debug, Default)]
pub struct QuotaAccount {
    known: Settlement,
    refused_until: UnixMs,
    /// When the oldest unsettled units may have been used; `None` if all are settled.
    unsettled_since: Option<UnixMs>,
    /// When the first of the units was admitted that came back and aren't settled.
    returns_since: Option<UnixMs>,
}

impl QuotaAccount {
    /// A request arrives that counts `cost` units.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{Admission, QuotaAccount};
    /// # use monsoonspread_model::UnixMs;
    /// let (now, overdraft) = (UnixMs(1_000), 1_000.0);
    /// let mut account = QuotaAccount::default();
    /// assert_eq!(account.on_request(now, 700.0, overdraft), Admission::Admitted);
    /// assert_eq!(account.on_request(now, 700.0, overdraft), Admission::Ask);
    /// let settlement = account.settlement(now);
    /// account.on_settled(now, &settlement);
    /// assert_eq!(account.on_request(now, 700.0, overdraft), Admission::Admitted);
    /// ```
    pub fn on_request(&mut self, now: UnixMs, cost: f64, overdraft: f64) -> Admission {
        if now < self.refused_until {
            return Admission::Refused(self.refused_until);
        }
        if self.unsettled() + cost > overdraft {
            return Admission::Ask;
        }
        self.known.used += cost;
        self.unsettled_since.get_or_insert(now);
        Admission::Admitted
    }

    /// Units that were admitted at `admitted_at` came back, as their request didn't run.
    pub fn on_returned(&mut self, admitted_at: UnixMs, units: f64) {
        self.known.returned += units;
        let since = self.returns_since.unwrap_or(admitted_at);
        self.returns_since = Some(since.min(admitted_at));
    }

    /// Returns what is reported to the primary issuer.
    pub fn settlement(&self, now: UnixMs) -> Settlement {
        let since = self.returns_since.unwrap_or(now);
        Settlement {
            returns_age_ms: now.ms_since(since),
            ..self.known
        }
    }

    /// The primary issuer confirmed a settlement.
    pub fn on_settled(&mut self, now: UnixMs, settlement: &Settlement) {
        let known = &mut self.known;
        known.confirmed = known.confirmed.max(settlement.used);
        known.returns_confirmed = known.returns_confirmed.max(settlement.returned);
        self.unsettled_since = (self.unsettled() > 0.0).then_some(now);
        if !self.has_returns() {
            self.returns_since = None;
        }
    }

    /// An issuer that was asked in this `role` has no credit before `until`; returns until when requests are
    /// refused.
    pub fn on_denied(&mut self, now: UnixMs, role: Role, until: UnixMs) -> UnixMs {
        let latest_ms = match role {
            Role::Primary => MAX_DENIED_MS,
            Role::Backup | Role::Zone => MAX_BACKUP_DENIED_MS,
        };
        let until = until.min(now + latest_ms);
        self.refused_until = self.refused_until.max(until);
        until
    }

    /// The limit changed: an earlier answer of an issuer counts no more.
    pub fn on_changed(&mut self) {
        self.refused_until = UnixMs(0);
    }

    /// Forgets units that no issuer confirmed within a window, in which they have counted: an instance
    /// without an issuer may use its overdraft once in each window.
    pub fn on_tick(&mut self, now: UnixMs, window_ms: u64) {
        if self
            .unsettled_since
            .is_some_and(|since| now.ms_since(since) >= window_ms)
        {
            self.known.confirmed = self.known.used;
            self.unsettled_since = None;
        }
    }

    /// Units that were used and not confirmed.
    pub fn unsettled(&self) -> f64 {
        self.known.used - self.known.confirmed
    }

    /// Whether something is to be reported.
    pub fn has_news(&self) -> bool {
        self.unsettled() > 0.0 || self.has_returns()
    }

    /// Whether units came back that aren't settled.
    pub fn has_returns(&self) -> bool {
        self.known.returned > self.known.returns_confirmed
    }

    /// Until when requests are refused.
    pub fn refused_until(&self) -> UnixMs {
        self.refused_until
    }
}
