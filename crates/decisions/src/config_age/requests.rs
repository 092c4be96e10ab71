//! The subscriber's side of confirmations.

use std::collections::VecDeque;

use monsoonspread_model::UnixMs;

use super::Confirmation;

/// Maximum number of requests that are remembered: more than a source does.
const MAX_SENT: usize = 8;

/// Requests for confirmation that a subscriber sent to its feed sources.
#[derive(Debug)]
pub struct ConfirmationRequests {
    next_number: u64,
    sent: VecDeque<(u64, UnixMs)>,
}

impl ConfirmationRequests {
    /// Starts with the number `first_number`, which is higher than those of an earlier process of this
    /// instance: its requests may still be answered.
    pub fn new(first_number: u64) -> Self {
        Self {
            next_number: first_number,
            sent: VecDeque::new(),
        }
    }

    /// Returns the number of a request that is sent after `now`.
    pub fn on_send(&mut self, now: UnixMs) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        number
    }

    /// Returns when the known state, which has `revision`, was the newest; `None` if `confirmation` doesn't
    /// tell, because it answers no recent request or shows that changes are missing.
    ///
    /// ```
    /// use monsoonspread_decisions::config_age::{Confirmation, ConfirmationRequests};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut requests = ConfirmationRequests::new(7);
    /// let number = requests.on_send(UnixMs(1_000));
    /// let confirmation = Confirmation { number, asked_after_ms: -300, revision: 40 };
    /// assert_eq!(requests.confirmed_at(UnixMs(1_010), 40, &confirmation), Some(UnixMs(700)));
    /// assert_eq!(requests.confirmed_at(UnixMs(1_010), 39, &confirmation), None);
    /// ```
    pub fn confirmed_at(
        &self,
        now: UnixMs,
        revision: u64,
        confirmation: &Confirmation,
    ) -> Option<UnixMs> {
        if revision < confirmation.revision {
            return None;
        }
        let mut sent = self.sent.iter();
        let (_, sent_at) = sent.find(|(number, _)| *number == confirmation.number)?;
        let at = sent_at.0.checked_add_signed(confirmation.asked_after_ms)?;
        Some(UnixMs(at).min(now))
    }
}
