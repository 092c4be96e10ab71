//! A small deployment: the store, servers and instances, each a process of its own but the store.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, send};
use crate::record::{Record, unix_ms};
use crate::store::{Link, Store};

/// Name of the base model.
pub const MODEL: &str = "daka51";
/// Host of all routes.
pub const HOST: &str = "bench.example";
/// The servers' interval of writing to the store.
pub const HEARTBEAT_MS: u64 = 1_200;
/// `stability_window_ms` of the deployment.
pub const STABILITY_MS: u64 = 3_000;

/// A machine's link of 1,000 Mbit/s.
const LINK_BYTES_PER_MS: usize = 125_000;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/monsoonspread";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A server, or its place while it is down.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: &'static str,
    born: u64,
    arguments: Vec<String>,
    child: Option<Child>,
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// The deployment; its processes end with it.
pub struct Fleet {
    pub store: Store,
    pub servers: Vec<Server>,
    pub instances: Vec<Instance>,
    pub record: Arc<Record>,
    folder: PathBuf,
    record_path: PathBuf,
    pub links: Vec<Arc<Link>>,
    bytes_per_ms: usize,
    change_ms: u64,
}

fn free_address() -> SocketAddr {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    // An address of its own for each process, so that a port can't be taken in between.
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let own = std::process::id();
    let ip = format!(
        "127.{}.{}.{}",
        64 + (own >> 8) % 64,
        own % 256,
        number % 250 + 1
    );
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Fleet {
    /// Starts the store with the configuration `config`; records go to `record.txt` in `case`.
    pub fn new(case: &str, config: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let record_path = PathBuf::from(format!("review/{case}/record.txt"));
        let _ = fs::remove_file(&record_path);
        let store = Store::default();
        store.put("op/config", config);
        Self {
            store,
            servers: Vec::new(),
            instances: Vec::new(),
            record: Arc::new(Record::open(&record_path)),
            folder,
            record_path,
            links: Vec::new(),
            bytes_per_ms: LINK_BYTES_PER_MS,
            change_ms: 2_000,
        }
    }

    /// Sets the links of the machines to 10 Mbit/s and the bounds of changes to 3 s, as on the larger
    /// deployments.
    pub fn with_slow_links(mut self) -> Self {
        self.bytes_per_ms = 1_250;
        self.change_ms = 3_000;
        self
    }

    /// Adds a server of `service` in one of three zones, and lists it in the store.
    pub fn add_server(&mut self, id: &str, service: &str, arguments: &[&str]) {
        let mut server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: free_address(),
            zone: ZONES[self.servers.len() % ZONES.len()],
            born: 0,
            arguments: arguments.iter().map(|word| (*word).to_owned()).collect(),
            child: None,
        };
        let first = ["base=".to_owned() + MODEL, "model=".to_owned() + MODEL];
        self.spawn(&mut server, &first);
        self.list(&server, "ready", None);
        self.servers.push(server);
    }

    /// Starts the server `index` again under its id. It holds nothing of before.
    pub fn restart_server(&mut self, index: usize) {
        let mut servers = std::mem::take(&mut self.servers);
        self.spawn(&mut servers[index], &["base=".to_owned() + MODEL]);
        self.list(&servers[index], "ready", None);
        self.servers = servers;
    }

    fn spawn(&self, server: &mut Server, more: &[String]) {
        server.born = unix_ms();
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .arg("server")
            .arg(format!("id={}", server.id))
            .arg(format!("address={}", server.address))
            .arg(format!("record={}", self.record_path.display()))
            .args(&server.arguments)
            .args(more)
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("a server");
        crate::remember(child.id());
        server.child = Some(child);
        let until = Instant::now() + Duration::from_secs(5);
        while std::net::TcpStream::connect(server.address).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Writes a server's entry, as the server does.
    pub fn list(&self, server: &Server, state: &str, remaining_ms: Option<u64>) {
        let Server {
            id,
            service,
            address,
            zone,
            born,
            ..
        } = server;
        let remaining = remaining_ms.map_or(String::new(), |ms| format!("\"remaining_ms\":{ms},"));
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":128,\"state\":\"{state}\",{remaining}\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{born}}}"
        );
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.add(&format!("store entry of {id}: {state}"));
    }

    /// Starts the instance `name` in one of three zones.
    pub fn add_instance(&mut self, name: &str) {
        let (store_address, link) = self.store.start(self.bytes_per_ms);
        self.links.push(link);
        let change_ms = self.change_ms;
        let zone = ZONES[self.instances.len() % ZONES.len()];
        let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let settings = self.folder.join(format!("{name}.toml"));
        // What the deploy file's template gives with the figures of a small deployment.
        let text = format!(
            "instance = \"{name}\"\nzone = \"{zone}\"\nbootstrap = true\nstore = \"{}\"\n\n[listen]\n\
             callers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n[bounds]\n\
             order_gap_ms = 3000\nstop_grace_s = 8\nretry_ratio = 0.2\nretry_slack = 54\n\
             version_ms = 5000\ndrain_ms = {change_ms}\nconfig_ms = {change_ms}\n",
            store_address, addresses[0], addresses[1], addresses[2], addresses[3]
        );
        fs::write(&settings, text).expect("the settings");
        let mut instance = Instance {
            name: name.to_owned(),
            callers: addresses[0],
            readiness: addresses[1],
            settings,
            child: None,
        };
        instance.start();
        self.instances.push(instance);
    }

    /// Waits until all instances are ready; ends the case if they aren't.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        for instance in &self.instances {
            while instance.ready() != 200 {
                if Instant::now() > until {
                    self.record.add("an instance doesn't get ready");
                    crate::give_up();
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends a server at once.
    pub fn kill_server(&self, index: usize) {
        let server = &self.servers[index];
        if let Some(child) = &server.child {
            let _ = Command::new("kill")
                .args(["-9", &child.id().to_string()])
                .status();
        }
        self.record.add(&format!("server {} is killed", server.id));
    }

    /// Returns the servers whose processes have ended by themselves since the last call.
    pub fn crashed(&mut self) -> Vec<usize> {
        let mut crashed = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            let ended = server
                .child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if ended {
                server.child = None;
                crashed.push(index);
            }
        }
        crashed
    }

    /// Clients of each instance.
    pub fn clients(&self) -> Vec<Client> {
        let clients = self.instances.iter().map(|instance| Client {
            name: instance.name.clone(),
            callers: instance.callers,
            record: Arc::clone(&self.record),
        });
        clients.collect()
    }

    /// Lines of the record so far.
    pub fn lines(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.record_path).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Instance {
    /// Starts the program as the deploy file says, with its settings in the environment.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(PROGRAM)
            .env("MONSOONSPREAD_SETTINGS", &self.settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                crate::remember(child.id());
                self.child = Some(child);
            }
            Err(_) => crate::give_up(),
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn ready(&self) -> u16 {
        let headers = [("Host", "ready")];
        send(
            self.readiness,
            "GET",
            "/api/ready",
            &headers,
            b"",
            Duration::from_secs(1),
        )
        .status
    }
}

/// Clients of one instance.
#[derive(Clone)]
pub struct Client {
    pub name: String,
    pub callers: SocketAddr,
    pub record: Arc<Record>,
}

impl Client {
    /// Sends a client's request and records it and its answer.
    pub fn send(
        &self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        deadline_ms: u64,
    ) -> Answer {
        let deadline = deadline_ms.to_string();
        let mut all = vec![
            ("Host", HOST),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &deadline),
        ];
        all.extend(headers);
        self.record
            .add(&format!("client sends {id} {path} to {}", self.name));
        let method = if body.is_empty() { "GET" } else { "POST" };
        let patience = Duration::from_millis(deadline_ms + 1_000);
        let answer = send(self.callers, method, path, &all, body, patience);
        self.record.add(&format!(
            "client gets {id} status={} seal={} bytes={} {}{}",
            answer.status,
            answer.head.header("x-response-seal").unwrap_or("-"),
            answer.body.len(),
            if answer.complete {
                "complete"
            } else {
                "broken off "
            },
            answer.error,
        ));
        answer
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        for server in &mut self.servers {
            if let Some(mut child) = server.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
