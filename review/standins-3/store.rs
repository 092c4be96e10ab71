//! The platform's metadata store.
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{serve, Conn, Message};
use crate::json::{quote, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    /// How often the store came back from an older copy.
    era: u64,
    /// Whether it is away for all.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
    /// Revision and event.
    log: Vec<(u64, String)>,
}

impl State {
    fn write(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.log.push((revision, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!(
                "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                quote(key)
            );
            self.log.push((revision, event));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, ends)| *ends > now);
        let ended = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| ended(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.remove(revision, &key);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A copy of the store's state.
pub struct Copy(State);

/// Time of an answer.
const ANSWER_MS: u64 = 4;

impl Store {
    /// Serves the store; returns its address.
    pub fn start(&self) -> SocketAddr {
        self.start_for(&Arc::default())
    }

    /// Serves the store to one machine, which it turns away with 503 while `rejects` is set.
    pub fn start_for(&self, rejects: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (store, rejects) = (self.clone(), Arc::clone(rejects));
        serve(listener, move |conn, call| {
            thread::sleep(Duration::from_millis(ANSWER_MS));
            store.handle(conn, &call, &rejects)
        });
        let store = self.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = store.shared.0.lock().expect("the store");
            let before = state.revision;
            state.end_leases();
            if state.revision != before {
                store.shared.1.notify_all();
            }
        });
        address
    }

    /// Writes a key as operators and servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        state.write(revision, key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Keys and decoded values below a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.shared.0.lock().expect("the store");
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, item)| (key.clone(), unbase64(&item.value)))
            .collect()
    }

    /// Copies the state for a drill.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().expect("the store").clone())
    }

    /// The store is away for all, or is back.
    pub fn set_away(&self, is_away: bool) {
        self.shared.0.lock().expect("the store").is_away = is_away;
        self.shared.1.notify_all();
    }

    /// The store is back from a copy: what the system wrote since is gone, leases too.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.0.lock().expect("the store");
        let (era, last_lease) = (state.era + 1, state.last_lease);
        *state = copy.0.clone();
        // No id of a lease is given out twice.
        (state.era, state.last_lease) = (era, last_lease);
        for (ttl, ends) in state.leases.values_mut() {
            *ends = Instant::now() + Duration::from_millis(*ttl);
        }
        self.shared.1.notify_all();
    }

    /// Ids of leases go on from the copy, so that they are given out again.
    pub fn give_ids_again(&self, copy: &Copy) {
        self.shared.0.lock().expect("the store").last_lease = copy.0.last_lease;
    }

    fn handle(&self, conn: &mut Conn, call: &Message, rejects: &AtomicBool) -> bool {
        let turned_away =
            || rejects.load(Ordering::Relaxed) || self.shared.0.lock().expect("the store").is_away;
        let (mut status, mut body) = if turned_away() {
            (503, "{}".to_owned())
        } else {
            self.answer(call)
        };
        if turned_away() {
            (status, body) = (503, "{}".to_owned());
        }
        let era = self.shared.0.lock().expect("the store").era.to_string();
        conn.answer(
            status,
            &[("content-type", "application/json"), ("store-era", &era)],
            body.as_bytes(),
        )
        .is_ok()
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let path = call.path().to_owned();
        let number = |name: &str| call.query(name).and_then(|v| v.parse::<u64>().ok());
        let mut state = self.shared.0.lock().expect("the store");
        state.end_leases();
        let body = || Json::parse(&call.text()).unwrap_or(Json::Null);
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            let Some((ttl, ends)) = lease
                .parse()
                .ok()
                .and_then(|id: u64| state.leases.get_mut(&id))
            else {
                return (404, "{}".into());
            };
            *ends = Instant::now() + Duration::from_millis(*ttl);
            return (200, format!("{{\"ttl_ms\":{ttl}}}"));
        }
        if let Some(lease) = path.strip_prefix("/api/kv-lease-end/") {
            if let Ok(id) = lease.parse::<u64>() {
                state.leases.remove(&id);
                state.end_leases();
                self.shared.1.notify_all();
            }
            return (200, "{}".into());
        }
        match path.as_str() {
            "/api/kv-lease" => {
                let ttl = body().get("ttl_ms").number().unwrap_or(1_000);
                state.last_lease += 1;
                let id = state.last_lease;
                state
                    .leases
                    .insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            "/api/kv-key" => match call
                .query("key")
                .and_then(|key| Some((state.items.get(&key)?.clone(), key)))
            {
                Some((item, key)) => (200, row(&key, &item)),
                None => (404, "{}".into()),
            },
            "/api/kv-range" => {
                let prefix = call.query("path_prefix").unwrap_or_default();
                let after = call.query("after").unwrap_or_default();
                let found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut rows: Vec<String> =
                    found.take(501).map(|(key, item)| row(key, item)).collect();
                let more = rows.len() > 500;
                rows.truncate(500);
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more_pages\":{more},\"current_rev\":{}}}",
                        rows.join(","),
                        state.revision
                    ),
                )
            }
            "/api/kv-watch" => {
                let after = number("after").unwrap_or(0);
                let ends = Instant::now()
                    + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let era = state.era;
                loop {
                    if state.is_away || state.era != era {
                        return (410, "{}".into());
                    }
                    if after > state.revision {
                        return (410, "{}".into());
                    }
                    let events: Vec<&str> = state
                        .log
                        .iter()
                        .filter(|(at, _)| *at > after)
                        .map(|(_, e)| e.as_str())
                        .collect();
                    let left = ends.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"current_rev\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = self
                        .shared
                        .1
                        .wait_timeout(state, left)
                        .expect("the store")
                        .0;
                }
            }
            "/api/kv-txn" => {
                let txn = body();
                let holds = txn.get("precondition").list().iter().all(|p| {
                    let revision = state
                        .items
                        .get(p.get("key").text())
                        .map_or(0, |item| item.revision);
                    p.get("revision").number() == Some(revision)
                });
                if !holds {
                    let rows = txn.get("precondition").list().iter().filter_map(|p| {
                        let key = p.get("key").text();
                        Some(row(key, state.items.get(key)?))
                    });
                    return (
                        412,
                        format!("{{\"items\":[{}]}}", rows.collect::<Vec<_>>().join(",")),
                    );
                }
                let leases = txn
                    .get("writes")
                    .list()
                    .iter()
                    .map(|w| w.get("lease").number().unwrap_or(0));
                if leases
                    .clone()
                    .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
                {
                    return (404, "{}".into());
                }
                state.revision += 1;
                let revision = state.revision;
                for write in txn.get("writes").list() {
                    let lease = write.get("lease").number().unwrap_or(0);
                    state.write(
                        revision,
                        write.get("key").text(),
                        write.get("value").text(),
                        lease,
                    );
                }
                for key in txn.get("remove").list() {
                    state.remove(revision, key.text());
                }
                self.shared.1.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            _ => (404, "{}".into()),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            break;
        };
        word = (word << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
