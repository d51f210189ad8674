//! Fake target over raw HTTP/1.1. It streams tokens, answers reads and counts orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub const LARGE_RESPONSE_BYTES: usize = 64 << 20;

const LARGE_RESPONSE_PART_BYTES: usize = 64 << 10;

/// Counters and permits of a fake target, shared with the test.
#[derive(Debug)]
pub struct TargetState {
    /// Number of requests that arrived.
    pub requests: AtomicUsize,
    /// Number of orders that were executed.
    pub orders: AtomicUsize,
    /// Number of bytes of the large response that were written.
    pub written_bytes: AtomicUsize,
    /// Number of connections that failed before their response was complete.
    pub failed_connections: AtomicUsize,
    /// Permits to send tokens and order confirmations, one for each.
    pub permits: Semaphore,
    /// Whether streams break off inside the event after their last token.
    pub breaks_inside_event: AtomicBool,
}

pub struct FakeTarget {
    pub address: SocketAddr,
    pub state: Arc<TargetState>,
    _tasks: JoinSet<()>,
}

impl FakeTarget {
    /// Starts a target that sends as many tokens and order confirmations as it has permits.
    pub async fn start(permits: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(TargetState {
            requests: AtomicUsize::new(0),
            orders: AtomicUsize::new(0),
            written_bytes: AtomicUsize::new(0),
            failed_connections: AtomicUsize::new(0),
            permits: Semaphore::new(permits),
            breaks_inside_event: AtomicBool::new(false),
        });
        let mut tasks = JoinSet::new();
        let shared = state.clone();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                connections.spawn(async move {
                    if serve(stream, &state).await.is_err() {
                        state.failed_connections.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
        Self {
            address,
            state,
            _tasks: tasks,
        }
    }

    pub fn count(&self, counter: impl Fn(&TargetState) -> &AtomicUsize) -> usize {
        counter(&self.state).load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, state: &TargetState) -> std::io::Result<()> {
    while let Some((head, body)) = read_request(&mut stream).await? {
        state.requests.fetch_add(1, Ordering::SeqCst);
        if head.starts_with("POST /v1/chat/completions ") {
            serve_chat(&mut stream, state, &body).await?;
        } else if head.starts_with("POST /orders ") {
            let number = state.orders.fetch_add(1, Ordering::SeqCst) + 1;
            take_permit(&mut stream, state).await?;
            write_response(&mut stream, &format!("order {number}")).await?;
        } else if head.starts_with("GET /held") {
            take_permit(&mut stream, state).await?;
            write_response(&mut stream, "held").await?;
        } else if head.starts_with("GET /large ") {
            serve_large_response(&mut stream, state).await?;
        } else {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            write_response(&mut stream, &format!("read {path}")).await?;
        }
    }
    Ok(())
}

/// Waits for a permit. Fails if the client closes the connection while waiting.
async fn take_permit(stream: &mut TcpStream, state: &TargetState) -> std::io::Result<()> {
    let mut byte = [0];
    tokio::select! {
        permit = state.permits.acquire() => {
            permit.unwrap().forget();
            Ok(())
        }
        _ = stream.read(&mut byte) => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}

async fn serve_chat(
    stream: &mut TcpStream,
    state: &TargetState,
    body: &str,
) -> std::io::Result<()> {
    let request: serde_json::Value = serde_json::from_str(body).unwrap();
    let count = request["max_tokens"].as_u64().unwrap();
    if request["stream"] != true {
        let content: String = super::expected_tokens(count).concat();
        let response = serde_json::json!({
            "choices": [{"message": {"role": "assistant", "content": content}}],
            "usage": {"completion_tokens": count},
        });
        return write_response(stream, &response.to_string()).await;
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    for token in super::expected_tokens(count) {
        take_permit(stream, state).await?;
        let event = serde_json::json!({"choices": [{"delta": {"content": token}}]});
        write_chunk(stream, &format!("data: {event}\n\n")).await?;
    }
    if state.breaks_inside_event.load(Ordering::SeqCst) {
        write_chunk(stream, "data: {\"cho").await?;
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    write_chunk(stream, "data: [DONE]\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await
}

/// Sends a response that is larger than all buffers between the target and the caller.
async fn serve_large_response(stream: &mut TcpStream, state: &TargetState) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_RESPONSE_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..LARGE_RESPONSE_BYTES / LARGE_RESPONSE_PART_BYTES {
        stream.write_all(&[b'x'; LARGE_RESPONSE_PART_BYTES]).await?;
        state
            .written_bytes
            .fetch_add(LARGE_RESPONSE_PART_BYTES, Ordering::SeqCst);
    }
    Ok(())
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).await
}

async fn write_response(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await
}

async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<(String, String)>> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.trim().parse().unwrap());
    while bytes.len() < head_end + length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    }
    let body = String::from_utf8_lossy(&bytes[head_end..]).into_owned();
    Ok(Some((head, body)))
}
