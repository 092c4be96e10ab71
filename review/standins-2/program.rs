//! The project's program as a process, started as the deploy file says.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::{http, record};

/// `run` of the role in `deploy/system.toml`.
const RUN: &str = "target/release/monsoonspread";

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Program {
    pub name: String,
    zone: String,
    store: SocketAddr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

/// A free port below those that connections take by themselves.
fn free_address(ip: &str) -> SocketAddr {
    static NEXT: Mutex<Option<u16>> = Mutex::new(None);
    let mut next = NEXT.lock().expect("the ports");
    let mut port = next.unwrap_or(12_000 + (std::process::id() % 15_000) as u16);
    loop {
        port += 1;
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            *next = Some(port);
            return listener.local_addr().expect("its address");
        }
    }
}

impl Program {
    /// Starts the program on a machine that is added later: not the first start of the whole system.
    pub fn start_later(name: &str, zone: &str, ip: &str, store: SocketAddr) -> Self {
        Self::begin(name, zone, ip, store, false)
    }

    pub fn start(name: &str, zone: &str, ip: &str, store: SocketAddr) -> Self {
        Self::begin(name, zone, ip, store, true)
    }

    fn begin(name: &str, zone: &str, ip: &str, store: SocketAddr, bootstrap: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut program = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            callers: free_address(ip),
            readiness: free_address(ip),
            peers: free_address(ip),
            metrics: free_address(ip),
            folder,
            child: None,
        };
        program.run(bootstrap);
        program
    }

    /// Writes the settings as the template of the deploy file gives them for a small deployment.
    fn write_settings(&self, bootstrap: bool) -> PathBuf {
        let path = self.folder.join(format!("{}.toml", self.name));
        let bootstrap = if bootstrap { "bootstrap = true\n" } else { "" };
        let text = format!(
            "instance = \"{}\"\nzone = \"{}\"\n{bootstrap}store = \"{}\"\n\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n\
             [bounds]\norder_gap_ms = 3000\nstop_grace_s = 8\nretry_ratio = 0.2\nretry_slack = 54\n\
             version_ms = 5000\ndrain_ms = 2000\nconfig_ms = 2000\n\n\
             [machine]\nmemory_mb = 260\nmax_descriptors = 4200\n",
            self.name, self.zone, self.store, self.callers, self.readiness, self.peers, self.metrics
        );
        std::fs::write(&path, text).expect("the settings");
        path
    }

    fn run(&mut self, bootstrap: bool) {
        let settings = self.write_settings(bootstrap);
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(RUN)
            .env("MONSOONSPREAD_SETTINGS", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file");
        STARTED.lock().expect("the processes").push(child.id());
        record::log(&format!("{} started as process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().expect("the processes").retain(|pid| *pid != child.id());
            record::note(&format!("{} killed", self.name));
        }
    }

    /// Starts the process again, with the same settings but `bootstrap`.
    pub fn restart(&mut self) {
        self.run(false);
        record::note(&format!("{} started again", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::send(self.readiness, "GET", "/api/ready", &[("Host", "ready")], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all are ready.
pub fn wait_ready(programs: &[&Program], within: Duration) -> Result<(), String> {
    let until = Instant::now() + within;
    for program in programs {
        while !program.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} is not ready", program.name));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// Ends the processes that are left, and removes the temporary folder.
pub fn end_all() {
    for pid in STARTED.lock().expect("the processes").drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    match std::env::var("KEEP_LOGS") {
        Ok(kept) => {
            let _ = std::fs::rename(folder, kept);
        }
        Err(_) => {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}
