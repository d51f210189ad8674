//! Minimal HTTP/1.1 for clients, workers and the operator.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header; the case of its name is ignored.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.into();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a whole body.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a request on a new connection and returns the connection.
pub fn send(
    address: SocketAddr,
    request: &str,
    timeout: Duration,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    Ok(BufReader::new(stream))
}

/// Makes a call on a new connection and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    let mut reader = send(address, &request, timeout)?;
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// New id of an attempt.
pub fn attempt_id() -> String {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let number = COUNTER.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (unix_millis() << 20) + number)
}
