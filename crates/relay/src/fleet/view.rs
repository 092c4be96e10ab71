//! Known state of the operators' configuration, upstreams and instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use monsoonspread_borders::relay::{FleetChange, FleetChanges, FleetMember};
use monsoonspread_decisions::adapter_versions::AdapterVersions;
use monsoonspread_decisions::announced::{Announcements, Backoff};
use monsoonspread_decisions::change_feed::MAX_SOURCES;
use monsoonspread_decisions::route_table::RouteTable;
use monsoonspread_decisions::store_health::{
    Departures, Disappearance, LapsingEntries, StoreStatus,
};
use monsoonspread_model::fleet::{RateLimit, UpstreamRecord, UpstreamStage};
use monsoonspread_model::{InstanceName, ServiceName, UnixMs, UpstreamName, ZoneName};

use super::FleetEvent;
use super::invalid_entries::InvalidEntries;
use crate::event::{Line, kind};

/// An upstream that is listed in the store, or was until recently.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// The upstream's entry in the store.
    pub record: UpstreamRecord,
    /// Set when the entry disappeared: the upstream counts as removed from then on.
    pub lapses_at: Option<UnixMs>,
}

/// Known state of the operators' configuration, upstreams and instances.
#[derive(Debug, Default)]
pub struct FleetView {
    routes: Option<Rc<RouteTable>>,
    pub(super) upstreams: BTreeMap<UpstreamName, KnownUpstream>,
    members: BTreeMap<InstanceName, FleetMember>,
    /// Instances whose announcements disappeared during an outage of the store.
    lapsing_members: LapsingEntries<InstanceName>,
    holders: BTreeMap<UpstreamName, u64>,
    versions: AdapterVersions,
    /// Time after an announcement in which requests may begin on older versions, in milliseconds.
    version_leeway_ms: u64,
    /// Upstreams that left, which an older copy of the store may list.
    pub(super) departures: Departures,
    /// Entries that may be used later, if they are still listed.
    pub(super) withheld: BTreeMap<UpstreamName, (UnixMs, UpstreamRecord)>,
    /// Announcements that upstreams made in their answers.
    pub(super) announcements: Announcements,
    /// Entries that are not used.
    invalid_entries: InvalidEntries,
}

impl FleetView {
    /// Creates the state with nothing known. Requests may begin on older versions of an adapter for
    /// `version_leeway_ms` after an announcement.
    pub fn new(version_leeway_ms: u64) -> Self {
        Self {
            version_leeway_ms,
            ..Self::default()
        }
    }

    /// Returns the routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the record of a known upstream.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        self.upstreams.get(name).map(|known| &known.record)
    }

    /// Returns the upstreams of `service` that accept new work.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> {
        let records = self.upstreams.values().map(|known| &known.record);
        records.filter(move |up| up.service == *service && up.stage == UpstreamStage::Ready)
    }

    /// Returns all upstreams that accept new work.
    pub fn all_ready(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let records = self.upstreams.values().map(|known| &known.record);
        records.filter(|record| record.stage == UpstreamStage::Ready)
    }

    /// Returns until when an upstream is backing off from this instance; `None` if it accepts work.
    pub fn backoff_until(&self, now: UnixMs, upstream: &UpstreamRecord) -> Option<UnixMs> {
        let incarnation = upstream.started_unix_ms;
        self.announcements
            .backoff_until(now, &upstream.name, incarnation)
    }

    /// Returns the back-off of an upstream from this instance; `None` if it accepts work.
    pub fn backoff(&self, now: UnixMs, upstream: &UpstreamRecord) -> Option<Backoff> {
        let incarnation = upstream.started_unix_ms;
        self.announcements.backoff(now, &upstream.name, incarnation)
    }

    /// Returns the rate limit of this incarnation of an upstream; `None` without a limit.
    pub fn rate_limit(&self, upstream: &UpstreamName, incarnation: u64) -> Option<RateLimit> {
        self.announcements.rate_limit(upstream, incarnation)
    }

    /// Returns the peer address of another instance.
    pub fn member(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.peer_address)
    }

    /// Returns the zone of another instance.
    pub fn zone_of(&self, name: &InstanceName) -> Option<&ZoneName> {
        self.members.get(name).map(|member| &member.zone)
    }

    /// Returns the listed instances.
    pub fn members(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.values()
    }

    /// Returns the instances of a zone.
    pub fn members_of<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a InstanceName> {
        let members = self.members.values();
        members
            .filter(move |member| member.zone == *zone)
            .map(|member| &member.name)
    }

    /// Returns the first few instances of each zone, which act as feed sources for the others.
    pub fn feed_sources(&self) -> impl Iterator<Item = (&InstanceName, SocketAddr)> {
        let mut of_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        self.members.values().filter_map(move |member| {
            let rank = of_zone.entry(&member.zone).or_default();
            *rank += 1;
            (*rank <= MAX_SOURCES).then_some((&member.name, member.peer_address))
        })
    }

    /// Returns the announced versions of adapters.
    pub fn versions(&self) -> &AdapterVersions {
        &self.versions
    }

    /// Whether the configuration in force defines `service` as an engine service.
    pub fn is_engine(&self, service: &ServiceName) -> bool {
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.config().service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Applies a full snapshot; whatever is missing from it is removed.
    pub fn on_snapshot(
        &mut self,
        now: UnixMs,
        snapshot: &FleetChanges,
        complete: bool,
        status: StoreStatus,
    ) -> Vec<FleetEvent> {
        let mut events = self.missing_from(now, snapshot, status);
        self.withheld.clear();
        self.invalid_entries.on_snapshot(snapshot);
        let listed_status = StoreStatus {
            known_at: status.known_at,
            ..StoreStatus::default()
        };
        for change in &snapshot.changes {
            let change = change.change.clone();
            if let FleetChange::Upstream(record) = &change
                && !self.is_admitted(now, record)
            {
                continue;
            }
            events.extend(self.on_change(now, change, complete, listed_status));
        }
        events
    }

    /// Applies one change; `complete` if no earlier change can have been missed.
    pub fn on_change(
        &mut self,
        now: UnixMs,
        change: FleetChange,
        complete: bool,
        status: StoreStatus,
    ) -> Option<FleetEvent> {
        match change {
            FleetChange::Routing(config) => {
                let current = self.routes.as_ref().map(|routes| routes.config().version);
                if current.is_some_and(|current| config.version <= current) {
                    return None;
                }
                Line::new(&kind::CONFIG_IN_FORCE)
                    .field("version", config.version)
                    .field("routes", config.routes.len())
                    .log();
                self.routes = Some(Rc::new(RouteTable::new(*config)));
                Some(FleetEvent::Routing)
            }
            FleetChange::Upstream(record) => {
                self.departures.on_written(&record.name);
                self.withheld.remove(&record.name);
                self.on_upstream(record, complete)
            }
            FleetChange::UpstreamGone(name) if now < status.back_by => {
                self.withheld.remove(&name);
                self.lapse(&name, status.back_by);
                None
            }
            FleetChange::UpstreamGone(name) => {
                self.withheld.remove(&name);
                self.remove(now, &name)
            }
            FleetChange::Version(key, version) => {
                let previous = self.versions.newest(&key);
                let required_from = status.known_at + self.version_leeway_ms;
                if !self.versions.on_announced(&key, version, required_from) {
                    return None;
                }
                Line::new(&kind::VERSION_NAMED)
                    .field("adapter", &key)
                    .field("version", version)
                    .field("previous", previous.unwrap_or(0))
                    .field("required_in_ms", required_from.ms_since(now))
                    .log();
                Some(FleetEvent::Version(key, version))
            }
            FleetChange::Member(member) => {
                self.lapsing_members.on_listed(&member.name);
                self.members.insert(member.name.clone(), member.clone());
                Some(FleetEvent::Member(member.name, member.zone))
            }
            FleetChange::MemberGone(name) => self.on_member_gone(now, name, status),
            FleetChange::Holder(record) => {
                self.holders.insert(record.upstream.clone(), record.fence);
                Some(FleetEvent::Holder(record))
            }
            FleetChange::HolderGone(name) => {
                self.holders.remove(&name);
                Some(FleetEvent::HolderRemoved(name, status.is_steady))
            }
            FleetChange::Unreadable { key, problem } => {
                self.invalid_entries.on_invalid(key, problem);
                None
            }
        }
    }

    /// Removes upstreams and instances whose entries lapsed and did not reappear.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<FleetEvent> {
        let lapsed: Vec<UpstreamName> = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.lapses_at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        let members = self.lapsing_members.take_lapsed(now);
        self.members.retain(|name, _| !members.contains(name));
        let mut events: Vec<FleetEvent> = lapsed
            .iter()
            .filter_map(|name| self.remove(now, name))
            .collect();
        events.extend(members.into_iter().map(FleetEvent::MemberRemoved));
        let withheld = self.withheld.extract_if(.., |_, (until, _)| *until <= now);
        let admitted: Vec<UpstreamRecord> = withheld.map(|(_, (_, record))| record).collect();
        let admitted = admitted.into_iter();
        events.extend(admitted.filter_map(|record| self.on_upstream(record, false)));
        events
    }

    /// Applies an upstream's entry; `None` if nothing changed.
    fn on_upstream(&mut self, mut record: UpstreamRecord, complete: bool) -> Option<FleetEvent> {
        let incarnation = record.started_unix_ms;
        if self
            .announcements
            .on_listed(&record.name, incarnation)
            .is_some()
        {
            Line::new(&kind::UPSTREAM_ANNOUNCED)
                .field("upstream", &record.name)
                .field("incarnation", incarnation)
                .field("said", "forgotten")
                .field("source", "store")
                .log();
        }
        if self.announcements.is_leaving(&record.name, incarnation) {
            record.stage = UpstreamStage::Leaving;
        }
        let known = self.upstreams.get(&record.name);
        if known.is_some_and(|known| known.record == record && known.lapses_at.is_none()) {
            return None;
        }
        let restarted = known.is_some_and(|k| k.record.started_unix_ms != record.started_unix_ms);
        let changed = known.is_none_or(|known| known.record.stage != record.stage);
        if restarted || changed {
            Line::new(&kind::UPSTREAM_LISTED)
                .field("upstream", &record.name)
                .field("address", record.address)
                .field("stage", format!("{:?}", record.stage))
                .field("restarted", restarted)
                .log();
        }
        let known = KnownUpstream {
            record: record.clone(),
            lapses_at: None,
        };
        self.upstreams.insert(record.name.clone(), known);
        Some(FleetEvent::Upstream {
            record,
            restarted,
            complete,
        })
    }

    fn lapse(&mut self, name: &UpstreamName, lapses_at: UnixMs) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.lapses_at = known.lapses_at.or(Some(lapses_at));
        }
    }

    fn on_member_gone(
        &mut self,
        now: UnixMs,
        name: InstanceName,
        status: StoreStatus,
    ) -> Option<FleetEvent> {
        if !self.members.contains_key(&name) {
            return Some(FleetEvent::MemberRemoved(name));
        }
        match self.lapsing_members.on_gone(now, name.clone(), status) {
            Disappearance::Lapsing => Some(FleetEvent::MemberLapsing(name)),
            Disappearance::Known => None,
            Disappearance::Ended => {
                self.members.remove(&name);
                Some(FleetEvent::MemberRemoved(name))
            }
        }
    }

    fn remove(&mut self, now: UnixMs, name: &UpstreamName) -> Option<FleetEvent> {
        let record = self.upstreams.remove(name)?.record;
        let was_leaving = record.stage == UpstreamStage::Leaving;
        self.departures
            .on_left(now, name, record.started_unix_ms, was_leaving);
        Line::new(&kind::UPSTREAM_REMOVED)
            .field("upstream", name)
            .log();
        Some(FleetEvent::UpstreamRemoved(name.clone()))
    }

    fn missing_from(
        &mut self,
        now: UnixMs,
        snapshot: &FleetChanges,
        status: StoreStatus,
    ) -> Vec<FleetEvent> {
        let mut upstreams: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        let mut members: Vec<InstanceName> = self.members.keys().cloned().collect();
        let mut holders: Vec<UpstreamName> = self.holders.keys().cloned().collect();
        for change in &snapshot.changes {
            match &change.change {
                FleetChange::Upstream(record) => upstreams.retain(|name| *name != record.name),
                FleetChange::Member(member) => members.retain(|name| *name != member.name),
                FleetChange::Holder(record) => holders.retain(|name| *name != record.upstream),
                _ => {}
            }
        }
        for name in &upstreams {
            // Without a store outage the entry lapses immediately, at the next tick.
            self.lapse(name, status.back_by);
        }
        for name in &holders {
            self.holders.remove(name);
        }
        let members: Vec<FleetEvent> = members
            .into_iter()
            .filter_map(|name| self.on_member_gone(now, name, status))
            .collect();
        members
            .into_iter()
            .chain(
                holders
                    .into_iter()
                    .map(|name| FleetEvent::HolderRemoved(name, false)),
            )
            .collect()
    }
}
