//! Blocking HTTP/1.1 for stand-ins and clients.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A message, request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| decode(value))
        })
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let (mut at, mut out) = (0, Vec::new());
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&value[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with a buffer of what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let read = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        message
                            .headers
                            .push((name.trim().to_owned(), value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads so many bytes of a body; false if the connection ended before.
    pub fn exactly(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads the body that the head announces. A response without framing ends with its connection.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let mut body = Vec::new();
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.to_lowercase().contains("chunked"));
        let result = if chunked {
            self.chunks(&mut body)
        } else if let Some(length) = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
        {
            self.exactly(length, &mut body)
        } else if is_response {
            self.to_end(&mut body)
        } else {
            Ok(true)
        };
        message.body = body;
        message.is_whole = result?;
        Ok(())
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(size) = self.line()? else {
                return Ok(false);
            };
            let size = size.split(';').next().unwrap_or("");
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return Ok(false);
            };
            if size == 0 {
                while let Some(line) = self.line()? {
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
                return Ok(false);
            }
            if !self.exactly(size, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }

    fn to_end(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            body.append(&mut self.buffer);
            if self.fill()? == 0 {
                return Ok(true);
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Answers with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }
}

/// Serves connections, each on a thread, until the handler returns false.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&mut Conn, Message) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(mut message)) = conn.head() {
                    if conn.body(&mut message, false).is_err()
                        || !message.is_whole
                        || !handler(&mut conn, message)
                    {
                        return;
                    }
                }
            });
        }
    });
}

/// What a client saw.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer(Message),
    /// The connection ended, or the time ran out, before a whole head.
    Nothing(String),
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer(message) => message.status(),
            Seen::Nothing(_) => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Seen::Nothing(why) => format!("no answer ({why})"),
            Seen::Answer(message) => format!(
                "{} id={} seal={} {} bytes, {}",
                message.status(),
                message.header("x-request-id").unwrap_or("-"),
                message.header("x-response-seal").unwrap_or("-"),
                message.body.len(),
                if message.is_whole { "whole" } else { "cut off" }
            ),
        }
    }
}

/// Reads the answer on a connection.
pub fn receive(conn: &mut Conn, deadline: Instant) -> Seen {
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    let _ = conn.stream.set_read_timeout(Some(left));
    match conn.head() {
        Ok(Some(mut message)) => {
            if conn.body(&mut message, true).is_err() {
                message.is_whole = false;
            }
            Seen::Answer(message)
        }
        Ok(None) => Seen::Nothing("closed".to_owned()),
        Err(error) => Seen::Nothing(error.to_string()),
    }
}

/// Sends a request on a new connection.
pub fn call(to: SocketAddr, request: &[u8], wait_ms: u64) -> Seen {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let stream = match TcpStream::connect_timeout(&to, Duration::from_millis(1_000)) {
        Ok(stream) => stream,
        Err(error) => return Seen::Nothing(format!("connect: {error}")),
    };
    let mut conn = Conn::new(stream);
    if let Err(error) = conn.send(request) {
        return Seen::Nothing(format!("send: {error}"));
    }
    receive(&mut conn, deadline)
}
