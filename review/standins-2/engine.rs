//! A model server: its report, orders and streams, as the protocol's page describes them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{After, Handler, Request, Service, answer};
use crate::json::Json;
use crate::plain::unix_ms;
use crate::record;
use crate::store::Store;

pub const MODEL: &str = "base-model";
/// Places for adapters.
pub const ADAPTER_PLACES: usize = 6;
/// An adapter from the weight store, and from the server's own memory.
const LOAD_MS: u64 = 250;
const WARM_LOAD_MS: u64 = 25;
/// Interval of the writes to the store.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Events of a stream, and the time of each.
const EVENTS: u64 = 5;
const EVENT_MS: u64 = 15;

/// An order that arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
}

#[derive(Default)]
struct State {
    adapters: BTreeMap<String, u32>,
    pending: BTreeMap<String, Instant>,
    known: Vec<String>,
    sequence: u64,
    orders: Vec<Order>,
    ran: u64,
    has_crashed: bool,
}

pub struct Engine {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
}

impl Engine {
    pub fn start(id: &str, service: &str, zone: &str, ip: &str, store: &Store, phase_ms: u64) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            address: Mutex::new(None),
            state: Mutex::default(),
        });
        let shared = Arc::clone(&engine);
        let handler: Handler = Arc::new(move |request, stream| shared.on_request(request, stream));
        let service = Service::start(ip, handler);
        *engine.address.lock().expect("its address") = Some(service.address);
        engine.list(store);
        let (beating, store) = (Arc::clone(&engine), store.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(phase_ms));
            loop {
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                // The entry changes only when more than its `sequence` does.
                if !store.is_down() && !store.has(&beating.key()) && beating.list(&store) {
                    record::log(&format!("{} is listed again", beating.id));
                }
            }
        });
        engine
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn list(&self, store: &Store) -> bool {
        let address = self.address.lock().expect("its address").expect("an address");
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":32,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}",
            self.service, self.zone, self.born
        );
        store.put(&self.key(), &entry)
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().expect("the engine").orders.clone()
    }

    pub fn ran(&self) -> u64 {
        self.state.lock().expect("the engine").ran
    }

    pub fn has_crashed(&self) -> bool {
        self.state.lock().expect("the engine").has_crashed
    }

    fn finish_loads(state: &mut State) {
        let now = Instant::now();
        let done: Vec<String> =
            state.pending.iter().filter(|(_, at)| **at <= now).map(|(name, _)| name.clone()).collect();
        for name in done {
            state.pending.remove(&name);
            state.adapters.insert(name.clone(), 0);
            if !state.known.contains(&name) {
                state.known.push(name);
            }
        }
    }

    fn on_request(&self, request: &Request, stream: &mut TcpStream) -> After {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return answer(stream, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        match request.path.as_str() {
            "/health" => {
                let headers = [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", "0,0,32")];
                answer(stream, 200, &headers, b"")
            }
            "/api/report" => {
                let body = self.report();
                answer(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/api/order" => {
                let status = self.on_order(request);
                answer(stream, status, &[], b"")
            }
            _ => self.on_stream(request, stream),
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().expect("the engine");
        Self::finish_loads(&mut state);
        let adapters: Vec<String> = state.adapters.keys().map(|name| format!("\"{name}@1\"")).collect();
        let pending: Vec<String> = state.pending.keys().map(|name| format!("\"{MODEL}/{name}@1\"")).collect();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}],\
             \"pending\":[{}],\"busy\":false,\"sequence\":{},\"queued\":0,\"running\":0,\"kv_used\":0,\
             \"kv_total\":100000,\"handles\":0,\"born\":{}}}",
            adapters.join(","),
            pending.join(","),
            state.sequence,
            self.born
        )
    }

    fn on_order(&self, request: &Request) -> u16 {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (Some(holder), Some(token)) = (body.get("holder").text(), body.get("fencing_token").number()) else {
            return 400;
        };
        let mut state = self.state.lock().expect("the engine");
        Self::finish_loads(&mut state);
        state.orders.push(Order { at: Instant::now(), holder: holder.to_owned(), token });
        let operation = body.get("operation").text().unwrap_or("").to_owned();
        let name = body.get("adapter").text().unwrap_or("").to_owned();
        let status = Self::carry_out(&mut state, &body, &operation, &name);
        record::log(&format!(
            "{} order {operation} {name} of {holder}, token {token}, after {:?}: {status}",
            self.id,
            body.get("precondition").number()
        ));
        status
    }

    fn carry_out(state: &mut State, body: &Json, operation: &str, name: &str) -> u16 {
        if name.is_empty() {
            return if operation == "load" { 200 } else { 400 };
        }
        let is_loaded = state.adapters.contains_key(name);
        let is_pending = state.pending.contains_key(name);
        match operation {
            "load" if is_loaded => return 200,
            "load" if is_pending => return 202,
            "unload" if !is_loaded && !is_pending => return 200,
            "load" | "unload" => {}
            _ => return 400,
        }
        if body.get("precondition").number().is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        state.sequence += 1;
        if operation == "load" {
            let ms = if state.known.iter().any(|known| known == name) { WARM_LOAD_MS } else { LOAD_MS };
            state.pending.insert(name.to_owned(), Instant::now() + Duration::from_millis(ms));
            if state.adapters.len() + state.pending.len() > ADAPTER_PLACES {
                state.has_crashed = true;
            }
            return 202;
        }
        if state.adapters.get(name).copied().unwrap_or(0) > 0 {
            return 202;
        }
        state.adapters.remove(name);
        state.pending.remove(name);
        200
    }

    fn on_stream(&self, request: &Request, stream: &mut TcpStream) -> After {
        let Some(id) = request.header("x-request-id") else {
            return answer(stream, 400, &[("X-Not-Executed", "1")], b"");
        };
        let name = request.header("x-model").and_then(|model| model.split_once('/')).map_or("", |(_, name)| name);
        {
            let mut state = self.state.lock().expect("the engine");
            Self::finish_loads(&mut state);
            match state.adapters.get_mut(name) {
                Some(users) => *users += 1,
                None => {
                    drop(state);
                    return answer(stream, 421, &[("X-Request-Id", id)], b"");
                }
            }
            state.ran += 1;
        }
        let sent = stream_events(stream, &self.id, id);
        let mut state = self.state.lock().expect("the engine");
        if let Some(users) = state.adapters.get_mut(name) {
            *users = users.saturating_sub(1);
        }
        match sent {
            Ok(()) => After::Keep,
            Err(_) => After::Close,
        }
    }
}

fn stream_events(stream: &mut TcpStream, server: &str, id: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
         X-Response-Seal: seal.{server}.{id}\r\nX-Server-Load: 1,0,32,100\r\nX-Weights-Versions: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        std::thread::sleep(Duration::from_millis(EVENT_MS));
        let event = format!("id: {number}\ndata: token {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
