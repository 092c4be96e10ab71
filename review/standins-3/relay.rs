//! Starts the program of the deploy file.
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Seen};

/// A machine with a running process; killed on drop.
pub struct Relay {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
    settings: PathBuf,
}

/// Returns a free port of an address.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address").port()
}

impl Relay {
    /// Starts the process of a machine at `ip`, a loopback address; `extra` are further lines of the bounds.
    pub fn start(
        folder: &str,
        name: &str,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        bootstrap: bool,
        extra: &str,
    ) -> Self {
        let ports: Vec<u16> = (0..4).map(|_| free_port(ip)).collect();
        let text = format!(
            "instance = \"{name}\"\nzone = \"{zone}\"\n{}store = \"{store}\"\n\n[listen]\n\
             callers = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\npeers = \"{ip}:{}\"\nmetrics = \"{ip}:{}\"\n\n\
             [bounds]\norder_gap_ms = 3000\nstop_grace_s = 8\nretry_ratio = 0.2\nretry_slack = 54\nversion_ms = 5000\n\
             drain_ms = 2000\nheartbeat_ms = 1200\nconfig_ms = 2000\n{extra}\n[machine]\nmemory_mb = 260\nmax_descriptors = 4200\n",
            if bootstrap { "bootstrap = true\n" } else { "" },
            ports[0], ports[1], ports[2], ports[3]
        );
        let settings = PathBuf::from(folder).join(format!("{name}-{}.toml", ports[0]));
        fs::write(&settings, text).expect("a settings file");
        let child = spawn(&settings);
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            name: name.into(),
            callers: address(ports[0]),
            readiness: address(ports[1]),
            child,
            settings,
        }
    }

    /// Starts the process again at the same addresses, as after a crash.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings");
        fs::write(&self.settings, text.replace("bootstrap = true\n", "")).expect("the settings");
        self.child = spawn(&self.settings);
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// The status of a readiness check; 0 without an answer.
    pub fn ready(&self) -> u16 {
        call(
            self.readiness,
            b"GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
            1_000,
        )
        .status()
    }

    /// Waits until the machine is ready.
    pub fn until_ready(&self) -> bool {
        let ends = Instant::now() + Duration::from_secs(15);
        while Instant::now() < ends {
            if self.ready() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn call(&self, request: &[u8], wait_ms: u64) -> Seen {
        call(self.callers, request, wait_ms)
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let log = settings.with_extension("log");
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    // The command of the deploy file; the platform tells the settings in this variable.
    Command::new("target/release/monsoonspread")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("MONSOONSPREAD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a log"))
        .stdout(log)
        .spawn()
        .expect("the program")
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
