//! The operator adds a route that contains the path of the readiness check.

use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::http::send;
use crate::plain::Plain;
use crate::program::{Program, wait_ready};
use crate::record::{log, note};
use crate::store::Store;

pub fn run(trouble: bool) -> Outcome {
    let store = Store::start("127.83.0.1");
    store.put("op/config", &config(1, ""));
    let server = Plain::start("i-record-0", "records", "zone-a", "127.83.0.2", &store, None);
    let program = Program::start("front-zone-a-1", "zone-a", "127.83.1.1", store.address());
    wait_ready(&[&program], Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        let route = format!(
            ",{{\"name\":\"devices\",\"host\":\"{HOST}\",\"path_prefix\":\"/api/\",\"kind\":\"safe\",\
             \"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":0,\"service\":\"records\",\"max_attempts\":2}}"
        );
        store.put("op/config", &config(2, &route));
        note("a configuration adds the route /api/");
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut broken = Vec::new();
    let paths: &[&str] = if trouble { &["/api/list", "/api/ready", "/read/ready"] } else { &["/read/list", "/read/ready"] };
    let began = Instant::now();
    for number in 0..60 {
        let path = paths[number % paths.len()];
        let id = format!("q-{number}");
        let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
        let answer = send(program.callers, "GET", path, &headers, b"", Duration::from_secs(2));
        let Some(answer) = answer else { return Err(format!("no answer to {path}")) };
        let ran = server.requests_of(&id);
        log(&format!("{id} GET {path}: {} seal {:?} ran {ran}", answer.status, answer.header("x-response-seal")));
        let is_server_s = answer.header("x-response-seal").is_some() && answer.body == b"the server's bytes";
        if answer.status / 100 == 2 && !is_server_s {
            broken.push(format!(
                "{id} GET {path}: success {} without the server's seal, {} bytes; {ran} servers ran it",
                answer.status,
                answer.body.len()
            ));
        }
    }
    note(&format!("60 requests in {} ms", began.elapsed().as_millis()));
    Ok(broken)
}
