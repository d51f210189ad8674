//! Target that stops in the middle of an answer, where the request asks for it.

use std::ops::Range;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{TestTarget, header, ok_response, read_request};

/// Header with the number of bytes after which the answer stops. Without it, a request gets a sound
/// answer on a connection that stays open.
pub(crate) const CUT_AT: &str = "cut-at";

/// Header that names the [`CutEnd`].
pub(crate) const CUT_END: &str = "cut-end";

/// Header with which only the first answer to a request stops.
pub(crate) const CUT_ONCE: &str = "cut-once";

/// Time after which the relay has read what was sent before a reset.
const RESET_DELAY: Duration = Duration::from_millis(3);

/// Number of concurrent requests: the slots of a target.
const BATCH_SIZE: usize = 4;

/// How a connection ends on which an answer stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CutEnd {
    /// The target closes it.
    Close,
    /// The target closes its direction only, and keeps reading.
    Shutdown,
    /// The target resets it together with its last bytes.
    Reset,
    /// The target resets it after its last bytes have been read.
    LateReset,
    /// The target keeps it open.
    Stall,
}

impl CutEnd {
    /// Ends by which the relay learns that no further byte follows.
    pub(crate) const ENDED: [Self; 4] = [Self::Close, Self::Shutdown, Self::Reset, Self::LateReset];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Close => "close",
            Self::Shutdown => "shutdown",
            Self::Reset => "reset",
            Self::LateReset => "late-reset",
            Self::Stall => "stall",
        }
    }

    fn parse(text: &str) -> Self {
        let mut all = Self::ENDED.into_iter().chain([Self::Stall]);
        all.find(|end| end.as_str() == text).unwrap()
    }
}

/// A request that arrived at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Arrival {
    pub(crate) id: String,
    pub(crate) target: String,
    /// Whether its connection had served another request before.
    pub(crate) is_kept: bool,
}

#[derive(Default)]
struct RecordState {
    arrivals: Vec<Arrival>,
    /// Number of connections on which bytes arrived after an answer had stopped.
    reuse_count: usize,
    /// Number of open connections on which an answer has stopped.
    open_count: usize,
}

/// What happened at all targets of a test.
#[derive(Clone, Default)]
pub(crate) struct CutRecord(Arc<Mutex<RecordState>>);

impl CutRecord {
    /// Arrivals of the request with this id.
    pub(crate) fn arrivals(&self, id: &str) -> Vec<Arrival> {
        let state = self.0.lock().unwrap();
        let arrivals = state.arrivals.iter();
        arrivals
            .filter(|arrival| arrival.id == id)
            .cloned()
            .collect()
    }

    pub(crate) fn arrival_count(&self) -> usize {
        self.0.lock().unwrap().arrivals.len()
    }

    pub(crate) fn reuse_count(&self) -> usize {
        self.0.lock().unwrap().reuse_count
    }

    pub(crate) fn open_count(&self) -> usize {
        self.0.lock().unwrap().open_count
    }
}

/// Starts a target with this sound answer, in which `ID` stands for the id of the request.
pub(crate) async fn start_cutting_target(
    name: &str,
    answer: &'static str,
    record: &CutRecord,
) -> TestTarget {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = TestTarget::at(name, listener.local_addr().unwrap());
    let (name, record, closed) = (name.to_owned(), record.clone(), target.closed.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (name, record, closed) = (name.clone(), record.clone(), closed.clone());
            tokio::spawn(async move {
                serve(stream, &name, answer, &record).await;
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    target
}

/// Starts a target that no longer accepts connections once it has begun an answer.
pub(crate) async fn start_crashing_target(
    name: &str,
    answer: &'static str,
    record: &CutRecord,
) -> TestTarget {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = TestTarget::at(name, listener.local_addr().unwrap());
    let (name, record) = (name.to_owned(), record.clone());
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        drop(listener);
        serve(stream, &name, answer, &record).await;
    });
    target
}

async fn serve(mut stream: TcpStream, name: &str, answer: &str, record: &CutRecord) {
    let mut is_kept = false;
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "request-id").unwrap();
        let is_first = record.arrivals(id).is_empty();
        record.0.lock().unwrap().arrivals.push(Arrival {
            id: id.into(),
            target: name.into(),
            is_kept,
        });
        let cut_at =
            header(&head, CUT_AT).filter(|_| is_first || header(&head, CUT_ONCE).is_none());
        let Some(cut_at) = cut_at else {
            stream
                .write_all(&ok_response(&head, "sound"))
                .await
                .unwrap();
            is_kept = true;
            continue;
        };
        let bytes = answer.replace("ID", id).into_bytes();
        let cut_at: usize = cut_at.parse().unwrap();
        stream.write_all(&bytes[..cut_at]).await.unwrap();
        let end = CutEnd::parse(header(&head, CUT_END).unwrap());
        return end_connection(stream, end, record).await;
    }
}

async fn end_connection(mut stream: TcpStream, end: CutEnd, record: &CutRecord) {
    match end {
        CutEnd::Close => return,
        CutEnd::Reset => return reset(&stream),
        CutEnd::LateReset => {
            tokio::time::sleep(RESET_DELAY).await;
            return reset(&stream);
        }
        CutEnd::Shutdown => stream.shutdown().await.unwrap(),
        CutEnd::Stall => {}
    }
    record.0.lock().unwrap().open_count += 1;
    let is_reused = stream.read_u8().await.is_ok();
    let mut state = record.0.lock().unwrap();
    state.reuse_count += usize::from(is_reused);
    state.open_count -= 1;
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Checks all positions, as many at once as a target has slots.
pub(crate) async fn check_each<F: Future<Output = ()>>(
    positions: Range<usize>,
    check: impl Fn(usize) -> F,
) {
    for start in positions.clone().step_by(BATCH_SIZE) {
        let end = positions.end.min(start + BATCH_SIZE);
        join_all((start..end).map(&check)).await;
    }
}
