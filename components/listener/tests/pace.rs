//! Scheduling of other tasks while many connections are accepted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use salvo::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of connections opened before the server starts.
const CONNECTIONS: usize = 100;

/// Maximum number of requests that may be served between two polls of another task.
const MAX_REQUESTS_PER_POLL: usize = 16;

/// Time limit for serving all requests; reaching it fails the test.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

struct CountingHandler(Arc<AtomicUsize>);

#[async_trait]
impl Handler for CountingHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.fetch_add(1, Ordering::SeqCst);
        res.render("done");
    }
}

/// Opens a connection and sends a request on it.
async fn send_request(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
    caller.write_all(request).await.unwrap();
    caller
}

/// Guards against an acceptor that starves the tasks of open connections during a burst of new
/// ones: their streams would stall, and closed connections would go unnoticed.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_during_a_burst_of_connections() {
    let served = Arc::new(AtomicUsize::new(0));
    let acceptor = listener::listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = acceptor.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS {
        callers.push(send_request(address).await);
    }

    let router = Router::new().get(CountingHandler(served.clone()));
    let server = tokio::spawn(Server::new(acceptor).serve(router));
    let mut max_per_poll = 0;
    let polls = async {
        let mut before = 0;
        while before < CONNECTIONS {
            tokio::task::yield_now().await;
            let now = served.load(Ordering::SeqCst);
            max_per_poll = max_per_poll.max(now - before);
            before = now;
        }
    };
    tokio::time::timeout(SERVE_TIMEOUT, polls).await.unwrap();

    for caller in &mut callers {
        let mut response = String::new();
        caller.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert!(
        max_per_poll <= MAX_REQUESTS_PER_POLL,
        "{max_per_poll} requests between two polls of another task"
    );
    server.abort();
}
