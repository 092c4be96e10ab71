//! The platform's metadata store.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, serve, write_answer};
use crate::json::{Json, base64};

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    log: Vec<(u64, Instant, String)>,
    is_down: bool,
    renewals: u64,
}

/// The store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

type Reply = (u16, String);

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// How long a link is taken at a time.
const SLICE_MS: u64 = 10;

/// The link between the store and one machine.
pub struct Link {
    bytes_per_ms: usize,
    is_cut: AtomicBool,
    /// Taken by the connection that transmits.
    busy: Mutex<()>,
}

impl Link {
    /// Cuts the link, or heals it. What is under way meanwhile is delayed, as by retransmission.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn wait_until_whole(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn write(&self, bytes: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        for slice in bytes.chunks(self.bytes_per_ms * SLICE_MS as usize) {
            self.wait_until_whole();
            let _turn = self.busy.lock().expect("the link");
            stream.write_all(slice)?;
            let ms = slice.len() / self.bytes_per_ms;
            thread::sleep(Duration::from_millis(ms as u64));
        }
        Ok(())
    }
}

impl Store {
    /// Serves the store to one machine, over the machine's own link.
    pub fn start(&self, bytes_per_ms: usize) -> (SocketAddr, Arc<Link>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = Arc::new(Link {
            bytes_per_ms,
            is_cut: AtomicBool::new(false),
            busy: Mutex::default(),
        });
        let (store, own) = (self.clone(), Arc::clone(&link));
        serve(listener, move |request, stream| {
            own.wait_until_whole();
            let (status, body) = store.answer(request);
            let mut bytes = Vec::new();
            let json = [("Content-Type", "application/json")];
            write_answer(&mut bytes, status, &json, body.as_bytes())?;
            own.write(&bytes, stream)?;
            Ok(true)
        });
        (address, link)
    }

    /// Writes a key as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let revision = state.revision + 1;
        state.write(revision, key, base64(value.as_bytes()), 0);
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        let revision = state.revision + 1;
        state.remove(revision, key);
    }

    /// Answers 503 to every call from now on, which means that nothing was done. Leases run on.
    pub fn go_down(&self) {
        self.state.lock().expect("the store").is_down = true;
    }

    /// Answers again.
    pub fn come_back(&self) {
        self.state.lock().expect("the store").is_down = false;
    }

    /// Waits for the next renewal of a lease.
    pub fn wait_for_renewal(&self) {
        let renewals = || self.state.lock().expect("the store").renewals;
        let before = renewals();
        while renewals() == before {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("the store");
        state.end_leases();
        state
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.state.lock().expect("the store").is_down {
            return (503, "{}".into());
        }
        let path = request.path().to_owned();
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            return self.keep(id.parse().unwrap_or(0));
        }
        if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
            self.lock().leases.remove(&id.parse().unwrap_or(0));
            return (200, "{}".into());
        }
        match path.as_str() {
            "/api/kv-key" => self.key(request.parameter("key")),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-lease" => self.lease(request),
            "/api/kv-txn" => self.txn(request),
            _ => (404, "{}".into()),
        }
    }

    fn lease(&self, request: &Request) -> Reply {
        let ttl_ms = Json::parse(&request.text()).and_then(|body| body.number("ttl_ms"));
        let ttl_ms = ttl_ms.unwrap_or(1_000).clamp(1_000, 600_000);
        let mut state = self.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, id: u64) -> Reply {
        self.lock().renewals += 1;
        match self.lock().leases.get_mut(&id) {
            Some((ttl, ends_at)) => {
                *ends_at = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> Reply {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item.json(key)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
        let state = self.lock();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"more_pages\":false,\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("path_prefix").to_owned();
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.lock();
            if state.is_down {
                return (503, "{}".into());
            }
            if after < state.forgotten() {
                return (410, "{}".into());
            }
            let events = state.log.iter().filter(|(revision, _, event)| {
                *revision > after && event.starts_with(&format!("{{\"key\":\"{prefix}"))
            });
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            if !events.is_empty() || Instant::now() >= until {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let Some(txn) = Json::parse(&request.text()) else {
            return (400, "{}".into());
        };
        let mut state = self.lock();
        let holds = txn.list("precondition").iter().all(|row| {
            let item = row.text("key").and_then(|key| state.items.get(key));
            row.number("revision") == Some(item.map_or(0, |item| item.revision))
        });
        if !holds {
            return (412, "{\"items\":[]}".into());
        }
        let lease_of = |row: &Json| row.number("lease").unwrap_or(0);
        let writes = txn.list("writes");
        if writes
            .iter()
            .map(lease_of)
            .any(|id| id != 0 && !state.leases.contains_key(&id))
        {
            return (404, "{}".into());
        }
        // All changes of a transaction have one revision.
        let revision = state.revision + 1;
        for row in writes {
            let (key, value) = (row.text("key"), row.text("value"));
            state.write(
                revision,
                key.unwrap_or_default(),
                value.unwrap_or_default().to_owned(),
                lease_of(row),
            );
        }
        for key in txn.list("remove") {
            if let Json::Text(key) = key {
                state.remove(revision, key);
            }
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }
}

impl State {
    /// The last revision that is no longer in the history.
    fn forgotten(&self) -> u64 {
        let old = self.log.iter().filter(|(_, at, _)| at.elapsed() > HISTORY);
        old.map(|(revision, _, _)| *revision).max().unwrap_or(0)
    }

    fn write(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.log.push((revision, Instant::now(), item.json(key)));
        self.items.insert(key.to_owned(), item);
        self.revision = revision;
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.log.push((revision, Instant::now(), event));
            self.revision = revision;
        }
    }

    /// Removes the keys of leases that have ended.
    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, ends_at)| *ends_at > now);
        let has_ended = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let ended = self.items.iter().filter(|(_, item)| has_ended(item));
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            let revision = self.revision + 1;
            self.remove(revision, &key);
        }
    }
}
