//! Turns of open connections while many new ones come.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use salvo::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Connections that come at once.
const CONNECTIONS: usize = 100;

/// Most requests of new connections that may be served between two turns of another task.
const MOST_BETWEEN_TURNS: usize = 16;

/// Longest wait for all answers; a run that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(20);

struct CountingHandler(Arc<AtomicUsize>);

#[async_trait]
impl Handler for CountingHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.fetch_add(1, Ordering::SeqCst);
        res.render("done");
    }
}

/// Opens a connection that holds a request.
async fn ask(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
    caller.write_all(request).await.unwrap();
    caller
}

/// Guards against streams that stand still, and callers' closes that are not noticed, while a flood of
/// new connections is accepted.
#[tokio::test(flavor = "current_thread")]
async fn open_connections_keep_their_turns() {
    let served = Arc::new(AtomicUsize::new(0));
    let acceptor = listener::listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = acceptor.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS {
        callers.push(ask(address).await);
    }

    let router = Router::new().get(CountingHandler(served.clone()));
    let server = tokio::spawn(Server::new(acceptor).serve(router));
    let mut most = 0;
    let turns = async {
        let mut before = 0;
        while before < CONNECTIONS {
            tokio::task::yield_now().await;
            let now = served.load(Ordering::SeqCst);
            most = most.max(now - before);
            before = now;
        }
    };
    tokio::time::timeout(PATIENCE, turns).await.unwrap();

    for caller in &mut callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(most <= MOST_BETWEEN_TURNS, "{most} requests in a turn");
    server.abort();
}
