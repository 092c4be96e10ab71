//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// A parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> String {
        for pair in self.query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return decoded(value);
            }
        }
        String::new()
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line.last().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        if let Err(error) = reader.read_exact(&mut body[start..]) {
            body.truncate(start);
            return Err(error);
        }
        read_line(reader)?;
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (target, String::new()),
    };
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body)?;
    } else if let Some(length) = find(&headers, "content-length") {
        body.resize(length.parse().map_err(|_| ErrorKind::InvalidData)?, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, path, query, headers, body }))
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum After {
    Keep,
    Close,
}

pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> After + Send + Sync>;

/// A listening address whose process can end and start again.
pub struct Service {
    pub address: SocketAddr,
    handler: Handler,
    running: Mutex<Arc<AtomicBool>>,
    open: Arc<Mutex<Vec<(u64, TcpStream)>>>,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

impl Service {
    pub fn start(ip: &str, handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let service = Arc::new(Self {
            address: listener.local_addr().expect("its address"),
            handler,
            running: Mutex::new(Arc::new(AtomicBool::new(true))),
            open: Arc::default(),
        });
        service.listen(listener);
        service
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let running = Arc::clone(&self.running.lock().expect("its state"));
        listener.set_nonblocking(true).expect("a socket option");
        let (handler, open) = (Arc::clone(&self.handler), Arc::clone(&self.open));
        std::thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let id = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().expect("the connections").push((id, copy));
                        }
                        let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                        std::thread::spawn(move || {
                            serve(stream, &handler);
                            open.lock().expect("the connections").retain(|(other, _)| *other != id);
                        });
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends like a process: the listener and all connections close.
    pub fn crash(&self) {
        self.running.lock().expect("its state").store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(3));
        for (_, stream) in self.open.lock().expect("the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again at the same address.
    pub fn restart(self: &Arc<Self>) {
        *self.running.lock().expect("its state") = Arc::new(AtomicBool::new(true));
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.listen(listener);
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the port of a server is taken");
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut stream = stream;
    while let Ok(Some(request)) = read_request(&mut reader) {
        if handler(&request, &mut stream) == After::Close {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Writes a whole answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> After {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    match stream.write_all(&bytes) {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a connection of its own; `None` if no head of an answer came.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader, method)
}

pub fn read_answer(reader: &mut BufReader<TcpStream>, method: &str) -> Option<Answer> {
    let line = read_line(reader).ok()??;
    let status: u16 = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader).ok()?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    if method == "HEAD" || status == 204 || status == 304 {
        answer.is_whole = true;
        return Some(answer);
    }
    if find(&answer.headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        answer.is_whole = read_chunks(reader, &mut body).is_ok();
        answer.body = body;
    } else if let Some(length) = find(&answer.headers, "content-length") {
        let length: usize = length.parse().ok()?;
        let mut body = Vec::new();
        let read = reader.by_ref().take(length as u64).read_to_end(&mut body);
        answer.is_whole = read.is_ok() && body.len() == length;
        answer.body = body;
    } else {
        let mut body = Vec::new();
        answer.is_whole = reader.read_to_end(&mut body).is_ok();
        answer.body = body;
    }
    Some(answer)
}
