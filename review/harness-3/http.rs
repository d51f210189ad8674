//! Small HTTP/1.1 client and the parsing of requests.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut bytes = Vec::new();
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&bytes).trim_end().to_string();
        match (line.is_empty(), head.first_line.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(head)),
            (false, true) => head.first_line = line,
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                head.headers.push((name.trim().into(), value.trim().into()));
            }
        }
    }
}

/// Reads a body with a length or in chunks. `on_part` gets each part as it arrives.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(());
            }
            on_part(&part[..size]);
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    on_part(&body);
    Ok(())
}

/// Request with its headers, of which the length is added.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> io::Result<(Head, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    read_body(&mut reader, &head, |part| body.extend_from_slice(part))?;
    Ok((head, String::from_utf8_lossy(&body).into()))
}
