//! Target that crashes when it runs certain requests, and comes back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Path of the requests that crash their target.
pub const CRASHING_PATH: &str = "/crash";

/// Time for which a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Time after which a target that crashed is back.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Times at which requests arrived that crash their target, at all targets of a test.
pub type CrashArrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a target, which runs until the test ends, and returns its address.
pub fn start_crashing_target(arrivals: CrashArrivals) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut listener = listener;
        loop {
            serve_until_crash(listener, &arrivals).await;
            tokio::time::sleep(RESTART_DELAY).await;
            listener = bind(address);
        }
    });
    address
}

/// Serves requests, and closes the listener and all connections at the first one that crashes it.
async fn serve_until_crash(listener: TcpListener, arrivals: &CrashArrivals) {
    let (crash_sender, mut crash) = mpsc::channel(1);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(serve(stream, arrivals.clone(), crash_sender.clone()));
            }
            _ = crash.recv() => break,
        }
    }
    // A process that ends closes its address together with its connections.
    drop(listener);
}

/// Serves requests without a body.
async fn serve(stream: TcpStream, arrivals: CrashArrivals, crash_sender: mpsc::Sender<()>) {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    let mut is_crash = false;
    while stream
        .read_line(&mut line)
        .await
        .is_ok_and(|bytes| bytes > 0)
    {
        is_crash |= line.contains(&format!(" {CRASHING_PATH} "));
        let is_head_end = line == "\r\n";
        line.clear();
        if !is_head_end {
            continue;
        }
        if is_crash {
            arrivals.lock().unwrap().push(Instant::now());
        }
        tokio::time::sleep(RUN_TIME).await;
        if is_crash {
            // The channel is full if the target is already about to crash.
            let _ = crash_sender.try_send(());
            std::future::pending::<()>().await;
        }
        // Fails if the agent has closed the connection.
        let _ = stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nread")
            .await;
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(128).unwrap()
}
