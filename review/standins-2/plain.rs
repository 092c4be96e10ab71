//! A server of a plain service.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{After, Handler, Request, Service, answer};
use crate::record;
use crate::store::Store;

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

/// How the server answers; `None` for a whole answer of `work_ms`.
pub type Habit = Arc<dyn Fn(&Plain, &Request, &mut TcpStream) -> Option<After> + Send + Sync>;

pub struct Plain {
    pub id: String,
    service: String,
    zone: String,
    pub address: Mutex<Option<SocketAddr>>,
    listening: Mutex<Option<Arc<Service>>>,
    born: AtomicU64,
    is_listed: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    habit: Option<Habit>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Plain {
    pub fn start(id: &str, service: &str, zone: &str, ip: &str, store: &Store, habit: Option<Habit>) -> Arc<Self> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: Mutex::new(None),
            listening: Mutex::new(None),
            born: AtomicU64::new(unix_ms()),
            is_listed: AtomicBool::new(true),
            arrivals: Mutex::new(Vec::new()),
            habit,
        });
        let shared = Arc::clone(&server);
        let handler: Handler = Arc::new(move |request, stream| shared.on_request(request, stream));
        let listening = Service::start(ip, handler);
        *server.address.lock().expect("its address") = Some(listening.address);
        *server.listening.lock().expect("its listener") = Some(listening);
        server.list(store);
        server
    }

    /// Writes its entry.
    pub fn list(&self, store: &Store) {
        let address = self.address.lock().expect("its address").expect("an address");
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service,
            self.zone,
            self.born.load(Ordering::SeqCst)
        );
        if self.is_listed.load(Ordering::SeqCst) {
            store.put(&format!("servers/{}", self.id), &entry);
        }
    }

    pub fn requests_of(&self, id_prefix: &str) -> usize {
        let arrivals = self.arrivals.lock().expect("the arrivals");
        arrivals.iter().filter(|arrival| arrival.id.starts_with(id_prefix)).count()
    }

    pub fn requests_after(&self, id_prefix: &str, after: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("the arrivals");
        arrivals.iter().filter(|arrival| arrival.id.starts_with(id_prefix) && arrival.at > after).count()
    }

    /// Exits: its listener and connections close.
    pub fn exit(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        let listening = self.listening.lock().expect("its listener").clone().expect("a listener");
        listening.crash();
        record::log(&format!("{} exits", self.id));
    }

    /// Crashes now, and is back after `away` with a new start.
    pub fn crash(self: &Arc<Self>, store: &Store, away: Duration) {
        let (server, store) = (Arc::clone(self), store.clone());
        std::thread::spawn(move || {
            let listening = server.listening.lock().expect("its listener").clone().expect("a listener");
            listening.crash();
            record::log(&format!("{} crashed", server.id));
            std::thread::sleep(away);
            server.born.store(unix_ms(), Ordering::SeqCst);
            listening.restart();
            server.list(&store);
            record::log(&format!("{} is back", server.id));
        });
    }

    fn on_request(&self, request: &Request, stream: &mut TcpStream) -> After {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return answer(stream, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        let Some(id) = request.header("x-request-id") else {
            let load = [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", "0,0,6")];
            let status = if request.path == "/health" { 200 } else { 400 };
            return answer(stream, status, &load, b"");
        };
        let arrival = Arrival { id: id.to_owned(), at: Instant::now() };
        self.arrivals.lock().expect("the arrivals").push(arrival);
        record::log(&format!("{} runs {id} {} {}", self.id, request.method, request.path));
        if let Some(habit) = &self.habit
            && let Some(after) = habit(self, request, stream)
        {
            return after;
        }
        let seal = format!("seal.{}.{id}", self.id);
        let headers = [("X-Request-Id", id), ("X-Response-Seal", seal.as_str()), ("X-Server-Load", "1,0,6")];
        answer(stream, 200, &headers, b"the server's bytes")
    }
}
