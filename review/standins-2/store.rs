//! The platform's metadata store, as its page describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{After, Handler, Request, Service, answer};
use crate::json::{Json, base64, quoted};
use crate::record;

/// The page says about 500 items at most.
const PAGE_ITEMS: usize = 500;
/// How long the store takes for an answer.
const ANSWER_MS: u64 = 4;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: Vec<(u64, String)>,
    /// The store answers 503 to everybody.
    is_down_now: bool,
    /// When a lease was last renewed.
    renewed_at: Option<Instant>,
    /// Number of times that waiting watches were cut.
    cuts: u64,
    /// Watches that wait now, by the address of their caller.
    waiting: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub service: Arc<Service>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().expect("the store").revision = 100;
        let shared = Arc::clone(&state);
        let handler: Handler = Arc::new(move |request, stream| on_call(&shared, request, stream));
        let service = Service::start(ip, handler);
        let ticking = Arc::clone(&state);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let mut state = ticking.0.lock().expect("the store");
                if end_leases(&mut state) {
                    ticking.1.notify_all();
                }
            }
        });
        Self { state, service }
    }

    pub fn address(&self) -> SocketAddr {
        self.service.address
    }

    /// Writes a key as the operator and the servers do; false while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.0.lock().expect("the store");
        if state.is_down_now {
            return false;
        }
        write(&mut state, key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        true
    }

    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.0.lock().expect("the store");
        if state.is_down_now {
            return false;
        }
        remove(&mut state, key);
        self.state.1.notify_all();
        true
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.0.lock().expect("the store").items.contains_key(key)
    }

    /// The store is down and answers 503 to everybody.
    pub fn go_down(&self) {
        self.state.0.lock().expect("the store").is_down_now = true;
        self.state.1.notify_all();
        record::note("the store is down");
    }

    /// The store is back. Leases ran on while it was down, and the entries of servers expired, as no heartbeat
    /// arrived for three intervals.
    pub fn come_back(&self) {
        let mut state = self.state.0.lock().expect("the store");
        state.is_down_now = false;
        end_leases(&mut state);
        let servers: Vec<String> = state.items.keys().filter(|key| key.starts_with("servers/")).cloned().collect();
        for key in servers {
            remove(&mut state, &key);
        }
        self.state.1.notify_all();
        record::note("the store is back; the entries of servers expired meanwhile");
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().expect("the store").is_down_now
    }

    /// Time since a lease was last renewed.
    pub fn since_renewal(&self) -> Option<Duration> {
        let state = self.state.0.lock().expect("the store");
        state.renewed_at.map(|at| at.elapsed())
    }

    /// Number of watches that wait now.
    pub fn waiting_watches(&self) -> u64 {
        self.state.0.lock().expect("the store").waiting
    }

    /// Cuts the watches that wait, and removes `key` in the same moment.
    pub fn cut_watches_and_remove(&self, key: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.cuts += 1;
        remove(&mut state, key);
        self.state.1.notify_all();
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    put_at(state, key, value, lease, revision);
}

fn put_at(state: &mut State, key: &str, value: String, lease: u64, revision: u64) {
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.history.push((revision, item_json(key, &item)));
    state.items.insert(key.to_owned(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let event = format!("{{\"key\":{},\"revision\":{},\"removed\":true}}", quoted(key), state.revision);
        let revision = state.revision;
        state.history.push((revision, event));
    }
}

fn end_leases(state: &mut State) -> bool {
    let now = Instant::now();
    let ended: Vec<u64> = state.leases.iter().filter(|(_, lease)| lease.ends_at <= now).map(|(id, _)| *id).collect();
    for id in &ended {
        state.leases.remove(id);
        let keys: Vec<String> =
            state.items.iter().filter(|(_, item)| item.lease == *id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            remove(state, &key);
        }
    }
    !ended.is_empty()
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn reply(stream: &mut TcpStream, status: u16, body: &str) -> After {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
    answer(stream, status, &headers, body.as_bytes())
}

fn on_call(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request, stream: &mut TcpStream) -> After {
    {
        let state = shared.0.lock().expect("the store");
        if state.is_down_now {
            drop(state);
            return busy(stream);
        }
    }
    if request.path == "/api/kv-watch" {
        return watch(shared, request, stream);
    }
    std::thread::sleep(Duration::from_millis(ANSWER_MS));
    let mut state = shared.0.lock().expect("the store");
    if state.is_down_now {
        drop(state);
        return busy(stream);
    }
    end_leases(&mut state);
    let (status, body) = call(&mut state, request);
    shared.1.notify_all();
    drop(state);
    reply(stream, status, &body)
}

/// The store is down: nothing was done.
fn busy(stream: &mut TcpStream) -> After {
    reply(stream, 503, "{}")
}

fn call(state: &mut State, request: &Request) -> (u16, String) {
    if let Some(id) = request.path.strip_prefix("/api/kv-keep/") {
        let Some(lease) = id.parse().ok().and_then(|id: u64| state.leases.get_mut(&id)) else {
            return (404, "{}".to_owned());
        };
        lease.ends_at = Instant::now() + lease.ttl;
        let ttl_ms = lease.ttl.as_millis();
        state.renewed_at = Some(Instant::now());
        return (200, format!("{{\"ttl_ms\":{ttl_ms}}}"));
    }
    if let Some(id) = request.path.strip_prefix("/api/kv-lease-end/") {
        if let Some(lease) = id.parse().ok().and_then(|id: u64| state.leases.get_mut(&id)) {
            lease.ends_at = Instant::now();
        }
        end_leases(state);
        return (200, "{}".to_owned());
    }
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    match request.path.as_str() {
        "/api/kv-key" => match state.items.get(&request.parameter("key")) {
            Some(item) => (200, item_json(&request.parameter("key"), item)),
            None => (404, "{}".to_owned()),
        },
        "/api/kv-range" => {
            let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
            let found: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .take(PAGE_ITEMS + 1)
                .map(|(key, item)| item_json(key, item))
                .collect();
            let more = found.len() > PAGE_ITEMS;
            let page = &found[..found.len().min(PAGE_ITEMS)];
            (
                200,
                format!(
                    "{{\"items\":[{}],\"more_pages\":{more},\"current_rev\":{}}}",
                    page.join(","),
                    state.revision
                ),
            )
        }
        "/api/kv-lease" => {
            let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000).clamp(1_000, 600_000);
            state.last_lease += 1;
            let id = state.last_lease;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
            (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
        }
        "/api/kv-txn" => transaction(state, &body),
        _ => (404, "{}".to_owned()),
    }
}

fn transaction(state: &mut State, body: &Json) -> (u16, String) {
    let mut current = Vec::new();
    let mut holds = true;
    for row in body.get("precondition").list() {
        let key = row.get("key").text().unwrap_or("");
        let item = state.items.get(key);
        holds &= item.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0);
        current.extend(item.map(|item| item_json(key, item)));
    }
    if !holds {
        return (412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let writes = body.get("writes").list();
    let has_ended = |row: &Json| {
        let lease = row.get("lease").number().unwrap_or(0);
        lease != 0 && !state.leases.contains_key(&lease)
    };
    if writes.iter().any(has_ended) {
        return (404, "{}".to_owned());
    }
    // All changes of a transaction have one revision.
    let revision = state.revision + 1;
    for row in writes {
        let (key, value) = (row.get("key").text().unwrap_or(""), row.get("value").text().unwrap_or(""));
        let lease = row.get("lease").number().unwrap_or(0);
        put_at(state, key, value.to_owned(), lease, revision);
        state.revision = revision;
    }
    for key in body.get("remove").list() {
        state.revision = revision - 1;
        remove(state, key.text().unwrap_or(""));
        state.revision = revision;
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn watch(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request, stream: &mut TcpStream) -> After {
    let prefix = request.parameter("path_prefix");
    let after: u64 = request.parameter("after").parse().unwrap_or(0);
    let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
    let ends_at = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    std::thread::sleep(Duration::from_millis(ANSWER_MS));
    let mut state = shared.0.lock().expect("the store");
    let cuts = state.cuts;
    state.waiting += 1;
    loop {
        if state.is_down_now {
            state.waiting -= 1;
            drop(state);
            return busy(stream);
        }
        if state.cuts != cuts {
            state.waiting -= 1;
            return After::Close;
        }
        let newer = state.history.iter().filter(|(revision, _)| *revision > after);
        let events: Vec<&str> = newer.filter(|(_, event)| event_key(event).starts_with(&prefix)).map(|(_, event)| event.as_str()).collect();
        let now = Instant::now();
        if !events.is_empty() || now >= ends_at {
            let body = format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision);
            state.waiting -= 1;
            drop(state);
            return reply(stream, 200, &body);
        }
        let (next, _) = shared.1.wait_timeout(state, ends_at - now).expect("the store");
        state = next;
    }
}

fn event_key(event: &str) -> &str {
    event.strip_prefix("{\"key\":\"").unwrap_or("")
}
