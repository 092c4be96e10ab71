//! A model server or a server of a plain service, as a process of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, serve, write_answer};
use crate::json::Json;
use crate::record::Record;

/// Time in which an adapter is loaded.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// Time in which the base model is loaded.
const MODEL_LOAD: Duration = Duration::from_millis(600);

/// What a server is told at its start, as `name=value` arguments.
#[derive(Clone, Default)]
pub struct Arguments(BTreeMap<String, String>);

impl Arguments {
    pub fn read(words: impl Iterator<Item = String>) -> Self {
        let pairs = words.filter_map(|word| {
            let (name, value) = word.split_once('=')?;
            Some((name.to_owned(), value.to_owned()))
        });
        Self(pairs.collect())
    }

    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.text(name).parse().unwrap_or(default)
    }
}

#[derive(Default)]
struct State {
    models: BTreeSet<String>,
    loading_model: Option<(String, Instant)>,
    adapters: BTreeMap<String, u64>,
    pending: BTreeMap<String, (u64, Instant)>,
    sequence: u64,
    running: u64,
}

struct Server {
    id: String,
    is_engine: bool,
    arguments: Arguments,
    record: Record,
    state: Mutex<State>,
    crashes: Mutex<()>,
}

/// Runs a server until the process is ended.
pub fn run(arguments: Arguments) {
    let address: SocketAddr = arguments.text("address").parse().expect("an address");
    let mut state = State::default();
    if arguments.text("model") != "" {
        state.models.insert(arguments.text("model").to_owned());
    }
    let server = Arc::new(Server {
        id: arguments.text("id").to_owned(),
        is_engine: arguments.text("engine") == "1",
        record: Record::open(Path::new(arguments.text("record"))),
        state: Mutex::new(state),
        crashes: Mutex::default(),
        arguments,
    });
    let listener = TcpListener::bind(address).expect("the server's address");
    serve(listener, move |request, stream| {
        server.answer(request, stream)
    });
    loop {
        thread::park();
    }
}

impl Server {
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let expected = request.head.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Not-Executed", "1")];
            return write_answer(stream, 421, &headers, b"").map(|()| true);
        }
        match request.path() {
            "/health" => {
                let headers = [("X-Instance-Id", self.id.as_str())];
                write_answer(stream, 200, &headers, b"").map(|()| true)
            }
            "/api/report" if self.is_engine => {
                let body = self.report();
                let headers = [("Content-Type", "application/json")];
                write_answer(stream, 200, &headers, body.as_bytes()).map(|()| true)
            }
            "/api/order" if self.is_engine => {
                let status = self.order(request);
                write_answer(
                    stream,
                    status,
                    &[("Content-Type", "application/json")],
                    b"{}",
                )?;
                Ok(true)
            }
            _ => self.run_request(request, stream),
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().expect("the state");
        state.finish_loads();
        let adapters = state
            .adapters
            .iter()
            .map(|(name, version)| format!("\"{name}@{version}\""));
        let adapters = adapters.collect::<Vec<_>>().join(",");
        let models = state
            .models
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}"));
        let models = models.collect::<Vec<_>>().join(",");
        let model = self.arguments.text("base");
        let pending = state
            .pending
            .iter()
            .map(|(name, (version, _))| format!("\"{model}/{name}@{version}\""));
        let pending = pending.collect::<Vec<_>>().join(",");
        let (busy, sequence, running) =
            (state.loading_model.is_some(), state.sequence, state.running);
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"pending\":[{pending}],\"busy\":{busy},\
             \"sequence\":{sequence},\"queued\":0,\"running\":{running},\"kv_used\":0,\
             \"kv_total\":149252,\"handles\":0}}"
        )
    }

    fn order(&self, request: &Request) -> u16 {
        let Some(order) = Json::parse(&request.text()) else {
            return 400;
        };
        let (Some(operation), Some(model)) = (order.text("operation"), order.text("model")) else {
            return 400;
        };
        if order.text("holder").is_none() || order.number("fencing_token").is_none() {
            return 400;
        }
        let mut state = self.state.lock().expect("the state");
        state.finish_loads();
        if order
            .number("precondition")
            .is_some_and(|expected| expected != state.sequence)
        {
            return 409;
        }
        let status = state.carry_out(
            operation,
            model,
            order.text("adapter"),
            order.number("version"),
        );
        let (holder, fence) = (order.text("holder"), order.number("fencing_token"));
        self.record.add(&format!(
            "server {} order {operation} {model} {} holder={} fence={} -> {status}",
            self.id,
            order.text("adapter").unwrap_or("-"),
            holder.unwrap_or("-"),
            fence.unwrap_or(0),
        ));
        status
    }

    fn run_request(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let header = |name: &str| request.head.header(name).unwrap_or_default();
        let id = header("x-request-id");
        if id.is_empty() {
            return write_answer(stream, 400, &[("X-Not-Executed", "1")], b"").map(|()| true);
        }
        if self.is_engine && !self.holds(header("x-model")) {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Not-Executed", "1")];
            return write_answer(stream, 421, &headers, b"").map(|()| true);
        }
        self.record.add(&format!(
            "server {} runs {id} {} {} body={} prefix={} after={}",
            self.id,
            request.method,
            request.target,
            request.body.len(),
            header("x-prompt-prefix"),
            header("last-event-id"),
        ));
        self.state.lock().expect("the state").running += 1;
        let kept = match self.is_engine {
            true => self.write_stream(request, id, stream),
            false => self.write_plain(id, stream),
        };
        self.state.lock().expect("the state").running -= 1;
        let end = if kept.is_ok() { "ends" } else { "is left" };
        self.record.add(&format!("server {} {id} {end}", self.id));
        kept
    }

    fn holds(&self, model: &str) -> bool {
        let mut state = self.state.lock().expect("the state");
        state.finish_loads();
        match model.split_once('/') {
            Some((model, adapter)) => {
                state.models.contains(model) && state.adapters.contains_key(adapter)
            }
            None => state.models.contains(model),
        }
    }

    fn write_plain(&self, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(Duration::from_millis(self.arguments.number("work_ms", 15)));
        let seal = format!("{}.1", self.id);
        let mut headers = vec![("X-Request-Id", id), ("X-Response-Seal", seal.as_str())];
        let limit = self.arguments.text("limit");
        if !limit.is_empty() {
            headers.push(("Server-Limit", limit));
        }
        write_answer(stream, 200, &headers, &[b'x'; 800]).map(|()| true)
    }

    /// Writes a stream of events: in chunks, or, if told so, without framing.
    fn write_stream(
        &self,
        request: &Request,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let events = self.arguments.number("events", 20);
        let gap = Duration::from_millis(self.arguments.number("gap_ms", 50));
        let is_unframed = self.arguments.text("unframed") == "1";
        let prefix = request.head.header("x-prompt-prefix").unwrap_or_default();
        thread::sleep(Duration::from_millis(self.arguments.number("first_ms", 80)));
        if self.crashes_on(prefix) {
            self.crash(id);
        }
        let framing = match is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Response-Seal: {}.1\r\n{framing}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        let after = request
            .head
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        for number in after.unwrap_or(0) + 1..=events {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            match is_unframed {
                true => stream.write_all(event.as_bytes())?,
                false => write!(stream, "{:x}\r\n{event}\r\n", event.len())?,
            }
            thread::sleep(gap);
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!is_unframed)
    }

    fn crash(&self, id: &str) -> ! {
        // The first of those that run here is the one that ends the process.
        let _first = self.crashes.lock();
        self.record
            .add(&format!("server {} crashes on {id}", self.id));
        std::process::exit(134);
    }

    /// Whether one of the parts of a prompt, but for the last, crashes servers.
    fn crashes_on(&self, prefix: &str) -> bool {
        let bad = self.arguments.text("bad_part");
        let mut parts: Vec<&str> = prefix.split(',').collect();
        parts.pop();
        !bad.is_empty() && parts.iter().any(|part| part.split(':').next() == Some(bad))
    }
}

impl State {
    fn finish_loads(&mut self) {
        let now = Instant::now();
        if let Some((model, at)) = self.loading_model.clone()
            && at <= now
        {
            self.models.insert(model);
            self.loading_model = None;
        }
        let done: Vec<(String, u64)> = self
            .pending
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect();
        for (name, version) in done {
            self.pending.remove(&name);
            self.adapters.insert(name, version);
        }
    }

    fn carry_out(
        &mut self,
        operation: &str,
        model: &str,
        adapter: Option<&str>,
        version: Option<u64>,
    ) -> u16 {
        let Some(adapter) = adapter else {
            if operation != "load" || self.models.contains(model) {
                return 200;
            }
            if self.loading_model.is_none() {
                self.loading_model = Some((model.to_owned(), Instant::now() + MODEL_LOAD));
                self.sequence += 1;
            }
            return 202;
        };
        if !self.models.contains(model) {
            return 400;
        }
        let version = version.unwrap_or(1);
        if operation == "unload" {
            if self.adapters.remove(adapter).is_some() {
                self.sequence += 1;
            }
            return 200;
        }
        if self.adapters.get(adapter) == Some(&version) {
            return 200;
        }
        if !self.pending.contains_key(adapter) {
            self.pending
                .insert(adapter.to_owned(), (version, Instant::now() + ADAPTER_LOAD));
            self.sequence += 1;
        }
        202
    }
}
