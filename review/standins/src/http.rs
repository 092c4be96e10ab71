//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request or answer head with its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn read(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Head {
            first: first.trim_end().to_owned(),
            headers,
        }))
    }
}

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map_or("", |(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the next request on a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(head) = Head::read(reader)? else {
        return Ok(None);
    };
    let mut words = head.first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        read_chunks(reader, &mut body, |_| {})?;
    } else if let Some(length) = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        head,
        method,
        target,
        body,
    }))
}

/// Reads chunks up to the last one.
fn read_chunks(
    reader: &mut impl BufRead,
    body: &mut Vec<u8>,
    mut on_bytes: impl FnMut(&[u8]),
) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        chunk.truncate(size);
        if size == 0 {
            return Ok(());
        }
        on_bytes(&chunk);
        body.extend(chunk);
    }
}

/// Serves each request on `listener` with `answer`, which returns whether the connection goes on.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    match answer(&request, &mut writer) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer is complete, as its framing tells.
    pub complete: bool,
    pub error: String,
}

impl Answer {
    /// Ids of the complete events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let events = text
            .split_inclusive("\n\n")
            .filter(|event| event.ends_with("\n\n"));
        let ids =
            events.filter_map(|event| event.strip_prefix("id: ")?.lines().next()?.parse().ok());
        ids.collect()
    }
}

/// Sends a request on a connection of its own, and reads its answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Answer {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    send_bytes(to, &bytes, patience)
}

/// Sends bytes on a connection of their own, and reads one answer.
pub fn send_bytes(to: SocketAddr, bytes: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = exchange(to, bytes, patience, &mut answer) {
        answer.error = error.to_string();
    }
    answer
}

fn exchange(
    to: SocketAddr,
    bytes: &[u8],
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(
        until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1)),
    ))?;
    stream.write_all(bytes)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = Head::read(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    answer.status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    let length = head
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"));
    answer.head = head;
    if chunked {
        read_chunks(&mut reader, &mut answer.body, |_| {})?;
    } else if let Some(length) = length {
        let read = reader.take(length as u64).read_to_end(&mut answer.body)?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.complete = true;
    Ok(())
}
