//! A fixed sequence of events for measuring the cost of an owner.

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantRequest, GrantReturn, MeshMessage, RequestId,
};
use monsoonspread_model::{
    AdapterRef, BundleVersion, CopyName, Epoch, InstanceName, RequestClass, UnixMs, UpstreamName,
};

use super::{OwnerAction, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape};

/// The only upstream of the driven owner.
const UPSTREAM: &str = "engine-1";
/// Time from the arrival of a request to its deadline.
const DEADLINE_MS: u64 = 3_600_000;

/// Drives an owner of one upstream through grants, waiting requests and ticks; the caller measures
/// the time.
#[derive(Debug)]
pub struct BenchmarkDriver {
    owner: OwnerSet,
    requester: InstanceName,
    now: UnixMs,
    next_request: u64,
}

impl BenchmarkDriver {
    /// Creates an owner of an upstream with `copies` loaded copies.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::BenchmarkDriver;
    /// let mut exercise = BenchmarkDriver::new(8);
    /// assert!(exercise.grant_cycle());
    /// ```
    pub fn new(copies: u32) -> Self {
        let settings = OwnerSettings {
            load_rate_per_s: f64::from(copies),
            load_burst: f64::from(copies),
            loads_in_transit: copies,
            loads_in_transit_per_upstream: copies,
            waiting_per_place: u32::MAX / 16,
            ..OwnerSettings::default()
        };
        let mut exercise = Self {
            owner: OwnerSet::new("entry-1".into(), settings, 1),
            requester: "entry-2".into(),
            now: UnixMs(1),
            next_request: 0,
        };
        let shape = UpstreamShape::new(UPSTREAM, copies, 16, false);
        exercise.owner.on_ownership_gained(
            exercise.now,
            shape,
            Epoch(1),
            OwnershipOrigin::Fresh,
            &[],
        );
        (0..copies).for_each(|copy| exercise.load(copy));
        exercise
    }

    /// Sends one request and returns its grant. The result tells whether it was granted.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::BenchmarkDriver;
    /// assert!(BenchmarkDriver::new(2).grant_cycle());
    /// ```
    pub fn grant_cycle(&mut self) -> bool {
        let request = self.next_request(0);
        let actions = self.owner.on_request(self.now, &self.requester, request);
        let grant = granted(&actions);
        if let Some(grant) = grant {
            self.return_grant(grant);
        }
        grant.is_some()
    }

    /// Adds a request for an adapter that is not loaded, which waits.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::BenchmarkDriver;
    /// let mut exercise = BenchmarkDriver::new(2);
    /// exercise.enqueue_request();
    /// assert_eq!(exercise.owner().dump(Default::default()).upstreams[0].waiting, [0, 1, 0]);
    /// ```
    pub fn enqueue_request(&mut self) {
        let adapter = u32::MAX - self.next_request as u32 % 1_000;
        let request = self.next_request(adapter);
        // The answer is ignored: the adapter's load is never ordered.
        self.owner.on_request(self.now, &self.requester, request);
    }

    /// Advances the time by 20 ms and delivers a tick.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::BenchmarkDriver;
    /// BenchmarkDriver::new(2).tick();
    /// ```
    pub fn tick(&mut self) {
        self.now = self.now + 20;
        self.owner.on_tick(self.now);
    }

    /// The driven owner.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::BenchmarkDriver;
    /// assert!(!BenchmarkDriver::new(2).owner().is_empty());
    /// ```
    pub fn owner(&self) -> &OwnerSet {
        &self.owner
    }

    fn load(&mut self, copy: u32) {
        let request = self.next_request(copy);
        let name = CopyName::new(request.adapter.clone(), Epoch(1));
        self.owner.on_request(self.now, &self.requester, request);
        let actions =
            self.owner
                .on_load_result(self.now, &UpstreamName::from(UPSTREAM), &name, Ok(()));
        if let Some(grant) = granted(&actions) {
            self.return_grant(grant);
        }
    }

    fn return_grant(&mut self, grant: GrantId) {
        let returned = GrantReturn {
            upstream: UPSTREAM.into(),
            grant,
            outcome: GrantOutcome::Done,
            first_token_ms: Some(50),
            token_gap_us: Some(25_000),
            tokens: 20,
        };
        self.owner.on_return(self.now, &self.requester, returned);
    }

    fn next_request(&mut self, adapter: u32) -> GrantRequest {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        GrantRequest {
            request,
            upstream: UPSTREAM.into(),
            adapter: AdapterRef::new(format!("adapter-{adapter}"), 1),
            class: RequestClass::Ordinary,
            priority: 0,
            caller: "caller-1".into(),
            tokens: 20,
            arrived_at_unix_ms: self.now,
            deadline_unix_ms: self.now + DEADLINE_MS,
            bundle_version: BundleVersion::default(),
            may_load: true,
        }
    }
}

/// The first grant in `actions`.
fn granted(actions: &[OwnerAction]) -> Option<GrantId> {
    actions.iter().find_map(|action| match action {
        OwnerAction::Send {
            message: MeshMessage::GrantReply(reply),
            ..
        } => match reply.answer {
            GrantAnswer::Granted { grant, .. } => Some(grant),
            _ => None,
        },
        _ => None,
    })
}
