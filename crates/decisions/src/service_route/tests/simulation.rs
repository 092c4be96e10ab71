//! Simulated calls of several instances to a small service, some of whose servers are closed for a
//! while.

use monsoonspread_model::{ServiceName, UnixMs, UpstreamName};

use super::super::{ServiceRouter, ServiceServer};

const INSTANCES: usize = 7;
const SERVERS: usize = 3;
/// Calls that a server works on at once, and how long one takes, in milliseconds.
const SLOTS: usize = 6;
const WORK_MS: u64 = 15;
/// Interval between calls of all instances, in milliseconds, and the number of calls: two thirds of
/// one server's capacity.
const CALL_EVERY_MS: u64 = 4;
const CALLS: u64 = 3_000;

struct Simulation {
    routers: Vec<ServiceRouter>,
    /// Running calls by server: end time and calling instance.
    busy: Vec<Vec<(u64, usize)>>,
    /// Number of calls by server.
    calls: [u64; SERVERS],
    refused: u64,
    /// Number of calls that found every slot taken.
    queued: u64,
}

fn name(server: usize) -> UpstreamName {
    format!("plain-{server}").as_str().into()
}

impl Simulation {
    fn new() -> Self {
        let servers: Vec<ServiceServer> = (0..SERVERS)
            .map(|server| ServiceServer {
                name: name(server),
                service: "plain".into(),
                zone: "zone-a".into(),
            })
            .collect();
        let router = |number| {
            let mut router = ServiceRouter::new("zone-b".into(), number as u64);
            router.on_servers(&servers);
            router
        };
        Self {
            routers: (0..INSTANCES).map(router).collect(),
            busy: vec![Vec::new(); SERVERS],
            calls: [0; SERVERS],
            refused: 0,
            queued: 0,
        }
    }

    /// Simulates the calls while the servers in `closed` are closed; returns the end time.
    fn run(&mut self, from_ms: u64, closed: &[usize]) -> u64 {
        let service: ServiceName = "plain".into();
        let closed: Vec<UpstreamName> = closed.iter().map(|server| name(*server)).collect();
        for number in 0..CALLS {
            let now = from_ms + number * CALL_EVERY_MS;
            self.end_calls(now);
            let instance = number as usize % INSTANCES;
            let picked = self.routers[instance].pick(UnixMs(now), &service, false, &closed);
            let Ok(picked) = picked else {
                self.refused += 1;
                continue;
            };
            let server = (0..SERVERS).find(|server| name(*server) == picked);
            let server = server.expect("a server");
            let ahead = self.busy[server].len() / SLOTS;
            self.queued += u64::from(ahead > 0);
            let ends_at = now + WORK_MS * (1 + ahead as u64);
            self.busy[server].push((ends_at, instance));
            self.calls[server] += 1;
        }
        from_ms + CALLS * CALL_EVERY_MS
    }

    fn end_calls(&mut self, now: u64) {
        for (server, calls) in self.busy.iter_mut().enumerate() {
            let routers = &mut self.routers;
            calls.retain(|(ends_at, instance)| {
                if *ends_at <= now {
                    let latency_ms = Some(WORK_MS);
                    routers[*instance].on_end(UnixMs(now), &name(server), false, latency_ms);
                }
                *ends_at > now
            });
        }
    }
}

/// Guards against calls that are refused or wait although one server could handle all of them.
#[test]
fn a_service_with_one_server_left_keeps_serving() {
    let mut simulation = Simulation::new();
    simulation.run(0, &[0, 2]);
    assert_eq!(simulation.calls, [0, CALLS, 0]);
    assert_eq!((simulation.refused, simulation.queued), (0, 0));
}

/// Guards against servers that stay idle or are overloaded after they rejected work for a while.
#[test]
fn recovered_servers_get_their_share() {
    let mut simulation = Simulation::new();
    let now = simulation.run(0, &[1]);
    simulation.calls = [0; SERVERS];
    simulation.run(now, &[]);
    let (least, most) = (simulation.calls.iter().min(), simulation.calls.iter().max());
    let mean = CALLS / SERVERS as u64;
    assert!(least > Some(&(mean * 8 / 10)), "{:?}", simulation.calls);
    assert!(most < Some(&(mean * 12 / 10)), "{:?}", simulation.calls);
    assert_eq!((simulation.refused, simulation.queued), (0, 0));
}

/// Guards against a call that waits when no server is open.
#[test]
fn a_service_without_an_open_server_refuses_at_once() {
    let mut simulation = Simulation::new();
    simulation.run(0, &[0, 1, 2]);
    assert_eq!(simulation.refused, CALLS);
}
