//! Connections of entries, and the session on each of them.
//!
//! An entry offers and withdraws requests on its session, and the agent sends its claims there.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, LinkStream, PeerLink};
use tokio::sync::mpsc;
use units::{ClockTime, NodeName};
use wire::{AgentMessage, EntryMessage, NodeRole, StreamKind};

use crate::state::{AgentShared, SessionHandle};
use crate::streams;

/// Maximum number of messages queued for an entry. A claim that does not fit is dropped and times
/// out.
const SESSION_QUEUE_CAPACITY: usize = 4_096;

/// Time without a frame after which a connection with open run streams is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a connection is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Activity on one connection, shared by its streams.
#[derive(Debug, Default)]
pub(crate) struct LinkActivity {
    open_run_count: AtomicUsize,
    last_frame_at: AtomicU64,
}

impl LinkActivity {
    /// Records that a frame has arrived.
    pub(crate) fn record_frame(&self, now: ClockTime) {
        self.last_frame_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Counts a run stream as open until the guard is dropped.
    pub(crate) fn track_run(self: &Arc<Self>) -> OpenRunGuard {
        self.open_run_count.fetch_add(1, Ordering::Relaxed);
        OpenRunGuard(self.clone())
    }

    fn is_idle(&self) -> bool {
        self.open_run_count.load(Ordering::Relaxed) == 0
    }

    fn last_frame_at(&self) -> ClockTime {
        ClockTime(self.last_frame_at.load(Ordering::Relaxed))
    }
}

/// Counts a run stream of a connection as open.
pub(crate) struct OpenRunGuard(Arc<LinkActivity>);

impl Drop for OpenRunGuard {
    fn drop(&mut self) {
        self.0.open_run_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections of entries until the endpoint is closed.
pub(crate) async fn accept_links(shared: AgentShared, endpoint: LinkEndpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let (shared, endpoint) = (shared.clone(), endpoint.clone());
        tokio::spawn(async move {
            match endpoint.complete_handshake(incoming).await {
                Ok(link) if link.role() == NodeRole::Entry => serve_link(shared, link).await,
                Ok(link) => refuse_peer(&link),
                Err(error) => {
                    telemetry::event!(telemetry::events::AGENT_PEER_REFUSED, reason = error);
                }
            }
        });
    }
}

fn refuse_peer(link: &PeerLink) {
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
    let silence_task = tokio::spawn(close_when_silent(
        shared.clone(),
        link.clone(),
        activity.clone(),
    ));
    loop {
        match link.accept().await {
            Ok(stream) => {
                activity.record_frame(shared.now());
                let (shared, activity) = (shared.clone(), activity.clone());
                tokio::spawn(serve_stream(shared, activity, stream));
            }
            Err(LinkError::Lost { .. }) => break,
            Err(error) => {
                telemetry::event!(telemetry::events::AGENT_PEER_REFUSED, reason = error);
            }
        }
    }
    silence_task.abort();
}

async fn serve_stream(shared: AgentShared, activity: Arc<LinkActivity>, stream: LinkStream) {
    match stream.hello.kind {
        StreamKind::Session => serve_session(shared, activity, stream).await,
        StreamKind::Run => streams::serve_run(shared, activity, stream).await,
        _ => {}
    }
}

/// Closes a connection with open run streams on which no frame arrives for [`SILENCE_TIMEOUT`].
///
/// An entry sends a ping every 500 ms while it has open requests, so this silence means that the
/// entry or the connection has failed.
async fn close_when_silent(shared: AgentShared, link: PeerLink, activity: Arc<LinkActivity>) {
    let mut interval = tokio::time::interval(SILENCE_CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut active_since = shared.now();
    loop {
        interval.tick().await;
        let now = shared.now();
        if activity.is_idle() {
            active_since = now;
        } else if now.since(activity.last_frame_at().max(active_since)) > SILENCE_TIMEOUT {
            let address = link.address();
            telemetry::event!(telemetry::events::AGENT_SILENT_LINK, address = address);
            link.close("silent");
            return;
        }
    }
}

async fn serve_session(shared: AgentShared, activity: Arc<LinkActivity>, stream: LinkStream) {
    let entry = stream.hello.name;
    let (sender, messages) = mpsc::channel(SESSION_QUEUE_CAPACITY);
    let _ = sender.try_send(AgentMessage::Ready {
        incarnation: shared.incarnation,
        service: shared.settings.service.clone(),
    });
    let generation = register_session(&shared, &entry, sender.clone());
    let writer = tokio::spawn(send_messages(stream.writer, messages));
    let reader = SessionReader {
        shared: &shared,
        activity: &activity,
        entry: &entry,
        sender,
    };
    reader.run(stream.reader).await;
    writer.abort();
    unregister_session(&shared, &entry, generation);
}

/// Registers a session and returns its generation.
///
/// Drops the offers of an earlier session with the same entry, since the entry repeats the offers
/// of all waiting requests on the new session.
fn register_session(
    shared: &AgentShared,
    entry: &NodeName,
    sender: mpsc::Sender<AgentMessage>,
) -> u64 {
    let now = shared.now();
    shared.board.write(|state| {
        if state.is_leaving {
            let _ = sender.try_send(AgentMessage::Leaving);
        }
        state.last_generation += 1;
        let generation = state.last_generation;
        let session = SessionHandle { generation, sender };
        if state.sessions.insert(entry.clone(), session).is_some() {
            let actions = state.table.disconnect_entry(entry, now);
            state.perform_actions(actions);
        }
        generation
    })
}

fn unregister_session(shared: &AgentShared, entry: &NodeName, generation: u64) {
    let now = shared.now();
    shared.board.write(|state| {
        let current_session = state.sessions.get(entry);
        if current_session.is_some_and(|session| session.generation == generation) {
            state.sessions.remove(entry);
            let actions = state.table.disconnect_entry(entry, now);
            state.perform_actions(actions);
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
            self.activity.record_frame(self.shared.now());
            self.handle_message(message);
        }
    }

    fn handle_message(&self, message: EntryMessage) {
        let now = self.shared.now();
        let is_permitted = self.shared.has_permission();
        match message {
            EntryMessage::Offer(offer) => self.shared.board.write(|state| {
                // The lease may have ended since the last periodic check. A claim made now would
                // be refused at its start.
                state.update_serving(is_permitted, now);
                let actions = state.table.add_offer(self.entry, offer, now);
                state.perform_actions(actions);
            }),
            EntryMessage::Withdraw(request) => self.shared.board.write(|state| {
                let actions = state.table.withdraw(self.entry, request, now);
                state.perform_actions(actions);
            }),
            EntryMessage::Ping(number) => {
                let _ = self.sender.try_send(AgentMessage::Pong(number));
            }
        }
    }
}
