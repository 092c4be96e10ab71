//! Instances, their issuers and the links between them, in virtual time.

use std::collections::BTreeSet;

use monsoonspread_model::fleet::{QuotaUnit, TokenQuota};
use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{
    Admission, BEAT_MS, IssuerTable, QuotaAccount, QuotaAnswer, QuotaIssuer, QuotaRequest,
    QuotaRule, QuotaTerms, Role, ZoneWatch,
};

/// Span over which the platform counts, in milliseconds.
pub const WINDOW_MS: u64 = 8_000;
/// The rule of the platform's sites.
pub const RULE: QuotaRule = QuotaRule {
    window_ms: WINDOW_MS,
    overage: 0.1,
    slack: 72_000.0,
};
/// Time after which a lease ends that isn't renewed, in milliseconds.
const LEASE_MS: u64 = 8_000;
/// Interval of renewals, in milliseconds.
const RENEW_MS: u64 = 2_000;
/// Longest time until a change of the list is known, in milliseconds.
const LIST_LAG_MS: u64 = 600;
/// How long an unresponsive issuer isn't asked again, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1_000;
/// Time after which accounts may use their overdraft, in milliseconds.
const LISTED_MS: u64 = 3_000;
/// Interval of settlements, in milliseconds.
const SETTLE_MS: u64 = 50;

/// One instance.
struct Instance {
    name: InstanceName,
    zone: ZoneName,
    process: u64,
    account: QuotaAccount,
    issuer: QuotaIssuer,
    table: IssuerTable,
    watch: Option<ZoneWatch>,
    confirmed_at: UnixMs,
    refresh_at: UnixMs,
    unresponsive: Vec<(InstanceName, UnixMs)>,
    is_frozen: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Run,
    Refused,
    /// The instance is frozen.
    Unserved,
}

/// Instances that serve one workspace.
pub struct QuotaFleet {
    pub now: UnixMs,
    pub quota: TokenQuota,
    instances: Vec<Instance>,
    /// Instances that reach neither the store nor those on the other side.
    cut: BTreeSet<usize>,
    /// Instances that reach all others but not the store.
    without_store: BTreeSet<usize>,
    /// Share of answers that are lost.
    pub lost_answers: f64,
    pub random: ChaCha8Rng,
    workspace: WorkspaceName,
    /// Requests that don't run: when their units come back, where, when they were admitted, and the units.
    returns: Vec<(UnixMs, usize, u64, UnixMs, f64)>,
    /// Units that ran, with the time of their admission.
    pub run: Vec<(UnixMs, f64)>,
}

impl QuotaFleet {
    /// Starts `number` instances in three availability zones.
    pub fn new(number: usize, quota: TokenQuota, seed: u64) -> Self {
        let now = UnixMs(1_000_000);
        let instances = (0..number).map(|index| Instance {
            name: format!("node-{index}").as_str().into(),
            zone: format!("zone-{}", index % 3).as_str().into(),
            process: 1,
            account: QuotaAccount::default(),
            issuer: QuotaIssuer::default(),
            table: IssuerTable::default(),
            watch: None,
            confirmed_at: now,
            refresh_at: now,
            unresponsive: Vec::new(),
            is_frozen: false,
        });
        let mut fleet = Self {
            now,
            quota,
            instances: instances.collect(),
            cut: BTreeSet::new(),
            without_store: BTreeSet::new(),
            lost_answers: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
            workspace: "crm".into(),
            returns: Vec::new(),
            run: Vec::new(),
        };
        fleet.pass(14_000);
        fleet
    }

    /// Terms as seen with all instances listed.
    pub fn terms(&self) -> QuotaTerms {
        QuotaTerms::new(self.quota, RULE, self.instances.len(), 3)
    }

    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Cuts instances off from the store and all others that aren't cut off with them.
    pub fn cut(&mut self, instances: impl IntoIterator<Item = usize>) {
        self.cut = instances.into_iter().collect();
    }

    /// Cuts instances off from the store.
    pub fn cut_from_store(&mut self, instances: impl IntoIterator<Item = usize>) {
        self.without_store = instances.into_iter().collect();
    }

    pub fn freeze(&mut self, index: usize, is_frozen: bool) {
        self.instances[index].is_frozen = is_frozen;
    }

    /// Kills and starts an instance; it stays listed.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.process += 1;
        instance.account = QuotaAccount::default();
        instance.issuer = QuotaIssuer::default();
        instance.table = IssuerTable::default();
        instance.watch = None;
        instance.refresh_at = now;
        instance.is_frozen = false;
        instance.unresponsive.clear();
    }

    /// Index of the primary issuer as the first instance knows it.
    pub fn primary(&self) -> usize {
        let table = &self.instances[0].table;
        let issuer = table.issuer(&self.workspace, Role::Primary);
        let mut names = self.instances.iter().map(|instance| &instance.name);
        names
            .position(|name| Some(name) == issuer)
            .expect("an issuer")
    }

    /// Lets time pass, in steps of 5 ms.
    pub fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now = self.now + 5;
            self.return_units();
            self.tick();
        }
    }

    fn return_units(&mut self) {
        let now = self.now;
        let due = self.returns.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, process, admitted_at, units) in due {
            let instance = &mut self.instances[index];
            if instance.process == process && !instance.is_frozen {
                instance.account.on_returned(admitted_at, units);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let listed: Vec<(InstanceName, ZoneName)> = self
            .instances
            .iter()
            .filter(|instance| now.ms_since(instance.confirmed_at) < LEASE_MS)
            .map(|instance| (instance.name.clone(), instance.zone.clone()))
            .collect();
        let listed: Vec<(&InstanceName, &ZoneName)> =
            listed.iter().map(|(name, zone)| (name, zone)).collect();
        for index in 0..self.instances.len() {
            let has_store = !self.cut.contains(&index) && !self.without_store.contains(&index);
            let lag_ms = self.random.random_range(50..LIST_LAG_MS);
            let workspace = self.workspace.clone();
            let instance = &mut self.instances[index];
            if instance.is_frozen {
                continue;
            }
            instance.account.on_tick(now, WINDOW_MS);
            if has_store && now.ms_since(instance.confirmed_at) >= RENEW_MS {
                instance.confirmed_at = now;
            }
            if has_store && now >= instance.refresh_at {
                instance.refresh_at = now + lag_ms;
                let zone = instance.zone.clone();
                let table = &mut instance.table;
                table.refresh(now, [&workspace], &listed, &zone);
            }
            if now.0.is_multiple_of(BEAT_MS) {
                self.beat(index);
            }
            let instance = &self.instances[index];
            if now.0.is_multiple_of(SETTLE_MS) && instance.account.has_news() {
                self.ask(index, Role::Primary, 0.0);
            }
        }
    }

    /// Beats to the primary issuer if an instance is the backup issuer of its zone.
    fn beat(&mut self, from: usize) {
        let now = self.now;
        let workspace = self.workspace.clone();
        let instance = &mut self.instances[from];
        let backed_up = instance.table.backed_up(&instance.name).next().is_some();
        let is_lone_primary = instance.table.issuer(&workspace, Role::Backup).is_none();
        if !backed_up && !is_lone_primary {
            instance.watch = None;
            return;
        }
        let watch = *instance.watch.get_or_insert_with(|| ZoneWatch::new(now));
        let zone = instance.zone.clone();
        let Some(issuer) = instance.table.issuer(&workspace, Role::Primary).cloned() else {
            return;
        };
        let mut all = self.instances.iter();
        let to = all.position(|to| to.name == issuer).expect("the issuer");
        let reaches = self.cut.contains(&from) == self.cut.contains(&to);
        let issuer = &mut self.instances[to];
        let is_confirmed = now.ms_since(issuer.confirmed_at) < LEASE_MS;
        if !reaches || issuer.is_frozen || !is_confirmed {
            return;
        }
        let role = issuer.table.role(&workspace, &issuer.name, Role::Primary);
        let Some(since) = role else {
            return;
        };
        let answered_ms = watch.answered_ms(now);
        let credit = &mut issuer.issuer;
        let terms = QuotaTerms::new(
            self.quota,
            RULE,
            issuer.table.instances(),
            issuer.table.zones(),
        );
        credit.on_beat(now, &workspace, since, &terms, (&zone, answered_ms));
        if self.random.random_bool(self.lost_answers) {
            return;
        }
        if let Some(watch) = &mut self.instances[from].watch {
            watch.on_answered(now);
        }
    }

    /// A request arrives at an instance. If `runs` is false, it is admitted and then refused by upstreams.
    pub fn request(&mut self, index: usize, cost: f64, runs: bool) -> Outcome {
        if self.instances[index].is_frozen {
            return Outcome::Unserved;
        }
        if !self.admit(index, cost) {
            return Outcome::Refused;
        }
        match runs {
            true => self.run.push((self.now, cost)),
            false => {
                let lasts_ms = self.random.random_range(0..2_000);
                let process = self.instances[index].process;
                self.returns
                    .push((self.now + lasts_ms, index, process, self.now, cost));
            }
        }
        Outcome::Run
    }

    fn admit(&mut self, index: usize, cost: f64) -> bool {
        let now = self.now;
        let quota = self.quota;
        let instance = &mut self.instances[index];
        let (count, zones) = (instance.table.instances(), instance.table.zones());
        let overdraft = match instance.table.is_settled(now, LISTED_MS) {
            true => QuotaTerms::new(quota, RULE, count, zones).overdraft(),
            false => 0.0,
        };
        match instance.account.on_request(now, cost, overdraft) {
            Admission::Admitted => return true,
            Admission::Refused(_) => return false,
            Admission::Ask => {}
        }
        let answer = self.ask(index, Role::Primary, cost);
        let answer = answer.or_else(|| self.ask(index, Role::Backup, cost));
        answer == Some(QuotaAnswer::Granted)
    }

    fn ask(&mut self, from: usize, role: Role, cost: f64) -> Option<QuotaAnswer> {
        let now = self.now;
        let workspace = self.workspace.clone();
        let instance = &mut self.instances[from];
        let settlement = instance.account.settlement(now);
        let process = instance.process;
        let name = instance.name.clone();
        let issuer = instance.table.issuer(&workspace, role)?.clone();
        instance.unresponsive.retain(|(_, until)| now < *until);
        if instance
            .unresponsive
            .iter()
            .any(|(name, _)| *name == issuer)
        {
            return None;
        }
        let to = self.instances.iter().position(|to| to.name == issuer)?;
        let reaches = self.cut.contains(&from) == self.cut.contains(&to);
        if !reaches || self.instances[to].is_frozen {
            let until = now + UNRESPONSIVE_MS;
            self.instances[from].unresponsive.push((issuer, until));
            return None;
        }
        let asked = QuotaRequest {
            instance: &name,
            process,
            settlement,
            cost,
        };
        let answer = self.issue(to, role, &asked)?;
        if from != to && self.random.random_bool(self.lost_answers) {
            return None;
        }
        let account = &mut self.instances[from].account;
        if role == Role::Primary {
            account.on_settled(now, &settlement);
        }
        if let QuotaAnswer::Denied(until) = answer {
            account.on_denied(now, role, until);
        }
        Some(answer)
    }

    fn issue(&mut self, to: usize, role: Role, asked: &QuotaRequest<'_>) -> Option<QuotaAnswer> {
        let now = self.now;
        let quota = self.quota;
        let issuer = &mut self.instances[to];
        let is_confirmed = now.ms_since(issuer.confirmed_at) < LEASE_MS;
        if role == Role::Primary && !is_confirmed {
            return None;
        }
        let table = &issuer.table;
        let since = table.role(&self.workspace, &issuer.name, role)?;
        let issues_since = issuer.watch.and_then(|watch| watch.issues_since(now));
        let (role, since) = match (role, issues_since) {
            (Role::Backup, Some(zone_since)) => (Role::Zone, zone_since.max(since)),
            _ => (role, since),
        };
        let terms = QuotaTerms::new(quota, RULE, table.instances(), table.zones());
        let role = (role, since);
        let credit = &mut issuer.issuer;
        credit.on_request(now, &self.workspace, role, &terms, asked)
    }

    /// Most units that ran in a window.
    pub fn busiest_window(&self) -> f64 {
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
        for (at, units) in &self.run {
            sum += units;
            while at.ms_since(self.run[first].0) >= WINDOW_MS {
                sum -= self.run[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// A quota in tokens.
pub fn tokens(per_s: f64, burst: f64) -> TokenQuota {
    TokenQuota {
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
        per_s,
        burst,
    }
}
