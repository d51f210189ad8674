//! Links to agents. A link is opened when there is a message to send, pinged while requests are
//! open, and reopened after a failure if a run still needs it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkError, PeerLink};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;
use units::{ClockTime, Incarnation, NodeName};
use wire::{AgentMessage, EntryMessage, NodeRole, StreamKind};

use crate::ping_plan::{LinkPurpose, PingPlan, PingStep};
use crate::state::EntryShared;

/// Maximum number of messages that wait for a link.
const LINK_QUEUE_CAPACITY: usize = 8_192;

/// Interval at which a connection is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the next attempt to connect after a failed one, while runs need the link.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Connection to an agent whose session is established.
#[derive(Debug, Clone)]
pub(crate) struct AgentConnection {
    pub(crate) peer: PeerLink,
    /// Incarnation of the agent's process.
    pub(crate) incarnation: Incarnation,
    pub(crate) activity: Arc<LinkActivity>,
}

/// Time of the last frame received on a connection.
#[derive(Debug, Default)]
pub(crate) struct LinkActivity {
    last_frame_at: AtomicU64,
}

impl LinkActivity {
    /// Records that a frame has arrived.
    pub(crate) fn record_frame(&self, now: ClockTime) {
        self.last_frame_at.fetch_max(now.0, Ordering::Relaxed);
    }

    fn last_frame_at(&self) -> ClockTime {
        ClockTime(self.last_frame_at.load(Ordering::Relaxed))
    }
}

/// Link to one agent, across any number of successive connections.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    sender: mpsc::Sender<EntryMessage>,
    connection: watch::Sender<Option<AgentConnection>>,
    run_count: Arc<AtomicUsize>,
}

/// Keeps a link open for a run until it is dropped.
#[derive(Debug)]
pub(crate) struct LinkGuard {
    pub(crate) connection: watch::Receiver<Option<AgentConnection>>,
    run_count: Arc<AtomicUsize>,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.run_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LinkHandle {
    pub(crate) fn new() -> (Self, mpsc::Receiver<EntryMessage>) {
        let (sender, messages) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let handle = Self {
            sender,
            connection: watch::Sender::new(None),
            run_count: Arc::default(),
        };
        (handle, messages)
    }

    /// Queues a message, or drops it if the queue is full. The queue is full only if the agent has
    /// stopped reading; the offers to it are then discarded when its connection is closed.
    pub(crate) fn send_message(&self, message: EntryMessage) {
        let _ = self.sender.try_send(message);
    }

    /// Keeps the link open for a run.
    pub(crate) fn acquire(&self) -> LinkGuard {
        self.run_count.fetch_add(1, Ordering::Relaxed);
        LinkGuard {
            connection: self.connection.subscribe(),
            run_count: self.run_count.clone(),
        }
    }

    fn has_runs(&self) -> bool {
        self.run_count.load(Ordering::Relaxed) > 0
    }
}

/// Keeps the link to an agent open for a run, and requests a link if there is none.
pub(crate) fn acquire_link(shared: &EntryShared, agent: &NodeName) -> LinkGuard {
    shared.board.write(|state| {
        let link = state.links.entry(agent.clone()).or_insert_with(|| {
            let (link, messages) = LinkHandle::new();
            state.links_to_open.push((agent.clone(), messages));
            link
        });
        link.acquire()
    })
}

/// Opens the links that the state lists in `links_to_open`. Never returns.
pub(crate) async fn open_links(shared: EntryShared) {
    loop {
        let (agent, messages) = shared
            .board
            .wait_for(|state| state.links_to_open.pop())
            .await;
        tokio::spawn(maintain_link(shared.clone(), agent, messages));
    }
}

/// Maintains the link to one agent until its connection is lost and no run needs it.
async fn maintain_link(
    shared: EntryShared,
    agent: NodeName,
    mut messages: mpsc::Receiver<EntryMessage>,
) {
    loop {
        let has_failed = match connect(&shared, &agent).await {
            Ok(peer) => {
                serve_connection(&shared, &agent, peer, messages).await;
                false
            }
            Err(reason) => {
                telemetry::event!(
                    telemetry::events::ENTRY_LINK_FAILED,
                    agent = agent,
                    reason = reason
                );
                true
            }
        };
        match reset_link(&shared, &agent, has_failed) {
            Some(new_messages) => messages = new_messages,
            None => return,
        }
        if has_failed {
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
}

async fn connect(shared: &EntryShared, agent: &NodeName) -> Result<PeerLink, String> {
    let address = shared
        .agent_address(agent)
        .ok_or("the directory does not list the agent")?;
    shared
        .endpoint
        .connect(address, NodeRole::Agent)
        .await
        .map_err(|error| error.to_string())
}

/// Discards the queue of a lost connection. Returns a new queue if runs still need the link, and
/// removes the link otherwise.
fn reset_link(
    shared: &EntryShared,
    agent: &NodeName,
    has_failed: bool,
) -> Option<mpsc::Receiver<EntryMessage>> {
    let now = shared.now();
    shared.board.write(|state| {
        let link = state.links.get_mut(agent)?;
        link.connection.send_replace(None);
        let has_runs = link.has_runs();
        let (sender, messages) = mpsc::channel(LINK_QUEUE_CAPACITY);
        link.sender = sender;
        if !has_runs {
            state.links.remove(agent);
        }
        if has_failed {
            state.suspend_agent(agent, now);
        } else {
            state.disconnect_agent(agent, now);
        }
        has_runs.then_some(messages)
    })
}

/// Exchanges messages on one connection until it is lost.
async fn serve_connection(
    shared: &EntryShared,
    agent: &NodeName,
    peer: PeerLink,
    messages: mpsc::Receiver<EntryMessage>,
) {
    let (writer, reader) = match peer.open(StreamKind::Session).await {
        Ok(stream) => stream,
        Err(_) => return,
    };
    let activity = Arc::new(LinkActivity::default());
    activity.record_frame(shared.now());
    let reader_task = tokio::spawn(read_session(
        shared.clone(),
        agent.clone(),
        peer.clone(),
        activity.clone(),
        reader,
    ));
    let session_writer = SessionWriter {
        shared,
        agent,
        activity: &activity,
        writer,
    };
    tokio::select! {
        () = session_writer.run(messages) => {}
        () = peer.closed() => {}
    }
    reader_task.abort();
    peer.close("session ended");
}

struct SessionWriter<'a> {
    shared: &'a EntryShared,
    agent: &'a NodeName,
    activity: &'a LinkActivity,
    writer: FrameWriter,
}

impl SessionWriter<'_> {
    /// Sends messages and pings until the connection fails.
    async fn run(mut self, mut messages: mpsc::Receiver<EntryMessage>) {
        let mut check_interval = tokio::time::interval(SILENCE_CHECK_INTERVAL);
        check_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ping_plan = PingPlan::default();
        loop {
            let result = tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.writer.send(&message).await,
                    None => return,
                },
                _ = check_interval.tick() => self.check_silence(&mut ping_plan).await,
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Pings a silent connection. Fails if it has been silent for too long.
    async fn check_silence(&mut self, ping_plan: &mut PingPlan) -> Result<(), LinkError> {
        let now = self.shared.now();
        match ping_plan.step(self.purpose(), self.activity.last_frame_at(), now) {
            PingStep::Wait => Ok(()),
            PingStep::Ping(count) => self.writer.send(&EntryMessage::Ping(count)).await,
            PingStep::Close => {
                telemetry::event!(telemetry::events::ENTRY_SILENT_LINK, agent = self.agent);
                Err(LinkError::Stream(
                    "no frame arrived within the time limit".into(),
                ))
            }
        }
    }

    fn purpose(&self) -> LinkPurpose {
        self.shared.board.read(|state| {
            let link = state.links.get(self.agent);
            if link.is_some_and(LinkHandle::has_runs) {
                return LinkPurpose::Runs;
            }
            if state.book.is_empty() {
                return LinkPurpose::Idle;
            }
            LinkPurpose::Offers {
                link_count: state.links.len(),
            }
        })
    }
}

async fn read_session(
    shared: EntryShared,
    agent: NodeName,
    peer: PeerLink,
    activity: Arc<LinkActivity>,
    mut reader: FrameReader,
) {
    while let Ok(Some(message)) = reader.receive::<AgentMessage>().await {
        activity.record_frame(shared.now());
        handle_message(&shared, &agent, &peer, &activity, message);
    }
    peer.close("session ended");
}

fn handle_message(
    shared: &EntryShared,
    agent: &NodeName,
    peer: &PeerLink,
    activity: &Arc<LinkActivity>,
    message: AgentMessage,
) {
    let now = shared.now();
    match message {
        AgentMessage::Ready { incarnation, .. } => {
            let connection = AgentConnection {
                peer: peer.clone(),
                incarnation,
                activity: activity.clone(),
            };
            shared.board.write(|state| {
                if let Some(link) = state.links.get(agent) {
                    link.connection.send_replace(Some(connection));
                }
            });
        }
        AgentMessage::Claim(request) => shared.board.write(|state| {
            let actions = state.book.handle_claim(agent, request, now);
            state.perform_actions(actions);
        }),
        AgentMessage::FreeSlots { free, .. } => shared.board.write(|state| {
            let actions = state.book.handle_free_slots(agent, free, now);
            state.perform_actions(actions);
        }),
        AgentMessage::Leaving => handle_leaving(shared, agent),
        AgentMessage::Pong(_) => {}
    }
}

/// Rejects incoming connections until the endpoint closes, because an entry opens all its links
/// itself.
pub(crate) async fn refuse_links(shared: EntryShared) {
    while let Some(incoming) = shared.endpoint.accept().await {
        incoming.refuse();
    }
}

/// Removes a leaving agent from the offer book before the directory lists it as leaving.
fn handle_leaving(shared: &EntryShared, agent: &NodeName) {
    let now = shared.now();
    shared.board.write(|state| {
        let incarnation = state.links.get(agent).and_then(|link| {
            let connection = link.connection.borrow();
            connection.as_ref().map(|connection| connection.incarnation)
        });
        if let Some(incarnation) = incarnation {
            state.leaving_agents.insert((agent.clone(), incarnation));
        }
        state.disconnect_agent(agent, now);
    });
}
