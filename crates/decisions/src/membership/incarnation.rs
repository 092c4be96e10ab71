//! Incarnation numbers.

use monsoonspread_model::UnixMs;

/// Low bits that count refutations within one process.
const REFUTATION_BITS: u32 = 16;

/// Orders updates about a member: by the start of its process, then by its refutations.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first incarnation of a process that started at `started_at`.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::Incarnation;
    /// # use monsoonspread_model::UnixMs;
    /// let first = Incarnation::started_at(UnixMs(7));
    /// assert!(first.next() > first);
    /// assert!(first.next().is_same_process(first));
    /// assert!(Incarnation::started_at(UnixMs(8)) > first.next());
    /// ```
    pub fn started_at(started_at: UnixMs) -> Self {
        Self(started_at.0 << REFUTATION_BITS)
    }

    /// The incarnation that refutes this one.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::Incarnation;
    /// # use monsoonspread_model::UnixMs;
    /// # let first = Incarnation::started_at(UnixMs(7));
    /// assert!(first.next() > first);
    /// ```
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Whether both incarnations belong to the same process.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::Incarnation;
    /// # use monsoonspread_model::UnixMs;
    /// # let first = Incarnation::started_at(UnixMs(7));
    /// assert!(first.next().is_same_process(first));
    /// ```
    pub fn is_same_process(self, other: Self) -> bool {
        self.0 >> REFUTATION_BITS == other.0 >> REFUTATION_BITS
    }
}
