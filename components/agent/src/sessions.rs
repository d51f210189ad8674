//! Connections and sessions of entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, LinkStream, PeerLink};
use tokio::sync::mpsc;
use units::{ClockTime, NodeName};
use wire::{AgentMessage, EntryMessage, NodeRole, StreamKind};

use crate::state::{AgentShared, SessionHandle};
use crate::streams;

/// Messages that wait for an entry; a claim beyond it is dropped and ends by itself.
const SESSION_QUEUE: usize = 4_096;

/// Time without any frame after which a connection with open runs is dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Interval in which silence is checked.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// What the streams of one connection have in common.
#[derive(Debug, Default)]
pub(crate) struct LinkActivity {
    open_runs: AtomicUsize,
    last_frame: AtomicU64,
}

impl LinkActivity {
    /// Notes that a frame has arrived.
    pub(crate) fn heard(&self, now: ClockTime) {
        self.last_frame.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Notes that a run stream is open until the guard is dropped.
    pub(crate) fn open_run(self: &Arc<Self>) -> OpenRun {
        self.open_runs.fetch_add(1, Ordering::Relaxed);
        OpenRun(self.clone())
    }

    fn is_idle(&self) -> bool {
        self.open_runs.load(Ordering::Relaxed) == 0
    }

    fn last_frame(&self) -> ClockTime {
        ClockTime(self.last_frame.load(Ordering::Relaxed))
    }
}

/// Open run stream of a connection.
pub(crate) struct OpenRun(Arc<LinkActivity>);

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.0.open_runs.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until the endpoint closes.
pub(crate) async fn accept_links(shared: AgentShared, endpoint: LinkEndpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let (shared, endpoint) = (shared.clone(), endpoint.clone());
        tokio::spawn(async move {
            match endpoint.complete_handshake(incoming).await {
                Ok(link) if link.role() == NodeRole::Entry => serve_link(shared, link).await,
                Ok(link) => refuse(&link),
                Err(error) => {
                    telemetry::event!(telemetry::events::AGENT_PEER_REFUSED, reason = error);
                }
            }
        });
    }
}

fn refuse(link: &PeerLink) {
    let (role, address) = (link.role(), link.address());
    telemetry::event!(
        telemetry::events::AGENT_PEER_REFUSED,
        role = role,
        address = address
    );
    link.close("only entries may connect to an agent");
}

async fn serve_link(shared: AgentShared, link: PeerLink) {
    let activity = Arc::new(LinkActivity::default());
    let watch = tokio::spawn(close_when_silent(
        shared.clone(),
        link.clone(),
        activity.clone(),
    ));
    loop {
        match link.accept().await {
            Ok(stream) => {
                activity.heard(shared.now());
                let (shared, activity) = (shared.clone(), activity.clone());
                tokio::spawn(serve_stream(shared, activity, stream));
            }
            Err(LinkError::Lost { .. }) => break,
            Err(error) => {
                telemetry::event!(telemetry::events::AGENT_PEER_REFUSED, reason = error);
            }
        }
    }
    watch.abort();
}

async fn serve_stream(shared: AgentShared, activity: Arc<LinkActivity>, stream: LinkStream) {
    match stream.hello.kind {
        StreamKind::Session => serve_session(shared, activity, stream).await,
        StreamKind::Run => streams::serve_run(shared, activity, stream).await,
        _ => {}
    }
}

/// Closes a connection on which an entry with open runs is silent. The entry pings every 500 ms
/// while it has open requests.
async fn close_when_silent(shared: AgentShared, link: PeerLink, activity: Arc<LinkActivity>) {
    let mut interval = tokio::time::interval(SILENCE_CHECK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut busy_since = shared.now();
    loop {
        interval.tick().await;
        let now = shared.now();
        if activity.is_idle() {
            busy_since = now;
        } else if now.since(activity.last_frame().max(busy_since)) > SILENCE_LIMIT {
            let address = link.address();
            telemetry::event!(telemetry::events::AGENT_SILENT_LINK, address = address);
            link.close("silent");
            return;
        }
    }
}

async fn serve_session(shared: AgentShared, activity: Arc<LinkActivity>, stream: LinkStream) {
    let entry = stream.hello.name;
    let (sender, messages) = mpsc::channel(SESSION_QUEUE);
    let _ = sender.try_send(AgentMessage::Ready {
        incarnation: shared.incarnation,
        service: shared.settings.service.clone(),
    });
    let generation = register(&shared, &entry, sender.clone());
    let writer = tokio::spawn(send_messages(stream.writer, messages));
    let reader = SessionReader {
        shared: &shared,
        activity: &activity,
        entry: &entry,
        sender,
    };
    reader.run(stream.reader).await;
    writer.abort();
    unregister(&shared, &entry, generation);
}

/// Registers a session. Offers of an earlier session of the entry are void: the entry offers
/// again what still waits.
fn register(shared: &AgentShared, entry: &NodeName, sender: mpsc::Sender<AgentMessage>) -> u64 {
    let now = shared.now();
    shared.board.write(|state| {
        if state.leaving {
            let _ = sender.try_send(AgentMessage::Leaving);
        }
        state.generations += 1;
        let generation = state.generations;
        let session = SessionHandle { generation, sender };
        if state.sessions.insert(entry.clone(), session).is_some() {
            let actions = state.table.disconnect_entry(entry, now);
            state.perform(actions);
        }
        generation
    })
}

fn unregister(shared: &AgentShared, entry: &NodeName, generation: u64) {
    let now = shared.now();
    shared.board.write(|state| {
        let present = state.sessions.get(entry);
        if present.is_some_and(|session| session.generation == generation) {
            state.sessions.remove(entry);
            let actions = state.table.disconnect_entry(entry, now);
            state.perform(actions);
        }
    });
}

async fn send_messages(mut writer: FrameWriter, mut messages: mpsc::Receiver<AgentMessage>) {
    while let Some(message) = messages.recv().await {
        if writer.send(&message).await.is_err() {
            return;
        }
    }
}

struct SessionReader<'a> {
    shared: &'a AgentShared,
    activity: &'a LinkActivity,
    entry: &'a NodeName,
    sender: mpsc::Sender<AgentMessage>,
}

impl SessionReader<'_> {
    async fn run(self, mut reader: FrameReader) {
        while let Ok(Some(message)) = reader.receive::<EntryMessage>().await {
            self.activity.heard(self.shared.now());
            self.receive(message);
        }
    }

    fn receive(&self, message: EntryMessage) {
        let now = self.shared.now();
        let permitted = self.shared.has_permission();
        match message {
            EntryMessage::Offer(offer) => self.shared.board.write(|state| {
                // A lease that ended since the last decision must not lead to a claim whose start
                // is then refused.
                state.decide_serving(permitted, now);
                let actions = state.table.add_offer(self.entry, offer, now);
                state.perform(actions);
            }),
            EntryMessage::Withdraw(request) => self.shared.board.write(|state| {
                let actions = state.table.withdraw(self.entry, request, now);
                state.perform(actions);
            }),
            EntryMessage::Ping(number) => {
                let _ = self.sender.try_send(AgentMessage::Pong(number));
            }
        }
    }
}
