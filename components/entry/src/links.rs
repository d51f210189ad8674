//! Links to agents: opened when there is something to send, pinged while requests are open, and
//! opened again when a run still needs them.

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

/// Messages that wait for a link.
const LINK_QUEUE: usize = 8_192;

/// Interval in which silence is checked.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// Pause between two attempts to connect for the sake of open runs.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Connection with a session.
#[derive(Debug, Clone)]
pub(crate) struct LiveLink {
    pub(crate) peer: PeerLink,
    /// Start of the agent's process.
    pub(crate) incarnation: Incarnation,
    pub(crate) activity: Arc<LinkActivity>,
}

/// Last frame of a connection.
#[derive(Debug, Default)]
pub(crate) struct LinkActivity {
    last_frame: AtomicU64,
}

impl LinkActivity {
    /// Notes that a frame has arrived.
    pub(crate) fn heard(&self, now: ClockTime) {
        self.last_frame.fetch_max(now.0, Ordering::Relaxed);
    }

    fn last_frame(&self) -> ClockTime {
        ClockTime(self.last_frame.load(Ordering::Relaxed))
    }
}

/// Link to one agent, over any number of connections.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    sender: mpsc::Sender<EntryMessage>,
    live: watch::Sender<Option<LiveLink>>,
    runs: Arc<AtomicUsize>,
}

/// Run that needs the link, until it is dropped.
#[derive(Debug)]
pub(crate) struct LinkUse {
    pub(crate) live: watch::Receiver<Option<LiveLink>>,
    runs: Arc<AtomicUsize>,
}

impl Drop for LinkUse {
    fn drop(&mut self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LinkHandle {
    pub(crate) fn new() -> (Self, mpsc::Receiver<EntryMessage>) {
        let (sender, messages) = mpsc::channel(LINK_QUEUE);
        let link = Self {
            sender,
            live: watch::Sender::new(None),
            runs: Arc::default(),
        };
        (link, messages)
    }

    /// Queues a message. A full queue belongs to an agent that does not read; its offers are then
    /// lost with the connection.
    pub(crate) fn send(&self, message: EntryMessage) {
        let _ = self.sender.try_send(message);
    }

    /// Keeps the link for a run.
    pub(crate) fn use_link(&self) -> LinkUse {
        self.runs.fetch_add(1, Ordering::Relaxed);
        LinkUse {
            live: self.live.subscribe(),
            runs: self.runs.clone(),
        }
    }

    fn is_used(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }
}

/// Keeps the link to an agent for a run, and opens it if there is none.
pub(crate) fn use_link(shared: &EntryShared, agent: &NodeName) -> LinkUse {
    shared.board.write(|state| {
        let link = state.links.entry(agent.clone()).or_insert_with(|| {
            let (link, messages) = LinkHandle::new();
            state.to_open.push((agent.clone(), messages));
            link
        });
        link.use_link()
    })
}

/// Opens the links that the state asks for.
pub(crate) async fn open_links(shared: EntryShared) {
    loop {
        let (agent, messages) = shared.board.wait_for(|state| state.to_open.pop()).await;
        tokio::spawn(keep_link(shared.clone(), agent, messages));
    }
}

/// Keeps the link to one agent until nothing needs it.
async fn keep_link(
    shared: EntryShared,
    agent: NodeName,
    mut messages: mpsc::Receiver<EntryMessage>,
) {
    loop {
        let failed = match connect(&shared, &agent).await {
            Ok(peer) => {
                serve(&shared, &agent, peer, messages).await;
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
        match renew(&shared, &agent, failed) {
            Some(fresh) => messages = fresh,
            None => return,
        }
        if failed {
            tokio::time::sleep(CONNECT_PAUSE).await;
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

/// Drops the queue of a lost connection. The link goes on with a new queue if runs need it.
fn renew(
    shared: &EntryShared,
    agent: &NodeName,
    failed: bool,
) -> Option<mpsc::Receiver<EntryMessage>> {
    let now = shared.now();
    shared.board.write(|state| {
        let link = state.links.get_mut(agent)?;
        link.live.send_replace(None);
        let used = link.is_used();
        let (sender, messages) = mpsc::channel(LINK_QUEUE);
        link.sender = sender;
        if !used {
            state.links.remove(agent);
        }
        if failed {
            state.agent_failed(agent, now);
        } else {
            state.agent_lost(agent, now);
        }
        used.then_some(messages)
    })
}

/// Serves one connection until it is lost.
async fn serve(
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
    activity.heard(shared.now());
    let reading = tokio::spawn(read_session(
        shared.clone(),
        agent.clone(),
        peer.clone(),
        activity.clone(),
        reader,
    ));
    let writing = SessionWriter {
        shared,
        agent,
        activity: &activity,
        writer,
    };
    tokio::select! {
        () = writing.run(messages) => {}
        () = peer.closed() => {}
    }
    reading.abort();
    peer.close("session ended");
}

struct SessionWriter<'a> {
    shared: &'a EntryShared,
    agent: &'a NodeName,
    activity: &'a LinkActivity,
    writer: FrameWriter,
}

impl SessionWriter<'_> {
    /// Sends messages and pings until the connection is dead.
    async fn run(mut self, mut messages: mpsc::Receiver<EntryMessage>) {
        let mut checks = tokio::time::interval(SILENCE_CHECK);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut plan = PingPlan::default();
        loop {
            let sent = tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.writer.send(&message).await,
                    None => return,
                },
                _ = checks.tick() => self.check(&mut plan).await,
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Pings a connection that is silent; fails if it has been silent for too long.
    async fn check(&mut self, plan: &mut PingPlan) -> Result<(), LinkError> {
        let now = self.shared.now();
        match plan.step(self.duty(), self.activity.last_frame(), now) {
            PingStep::Wait => Ok(()),
            PingStep::Ping(count) => self.writer.send(&EntryMessage::Ping(count)).await,
            PingStep::Close => {
                telemetry::event!(telemetry::events::ENTRY_SILENT_LINK, agent = self.agent);
                Err(LinkError::Stream("the connection is silent".into()))
            }
        }
    }

    fn duty(&self) -> LinkPurpose {
        self.shared.board.read(|state| {
            let link = state.links.get(self.agent);
            if link.is_some_and(LinkHandle::is_used) {
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
        activity.heard(shared.now());
        receive(&shared, &agent, &peer, &activity, message);
    }
    peer.close("session ended");
}

fn receive(
    shared: &EntryShared,
    agent: &NodeName,
    peer: &PeerLink,
    activity: &Arc<LinkActivity>,
    message: AgentMessage,
) {
    let now = shared.now();
    match message {
        AgentMessage::Ready { incarnation, .. } => {
            let live = LiveLink {
                peer: peer.clone(),
                incarnation,
                activity: activity.clone(),
            };
            shared.board.write(|state| {
                if let Some(link) = state.links.get(agent) {
                    link.live.send_replace(Some(live));
                }
            });
        }
        AgentMessage::Claim(request) => shared.board.write(|state| {
            let actions = state.book.handle_claim(agent, request, now);
            state.perform(actions);
        }),
        AgentMessage::FreeSlots { free, .. } => shared.board.write(|state| {
            let actions = state.book.handle_room(agent, free, now);
            state.perform(actions);
        }),
        AgentMessage::Leaving => leaving(shared, agent),
        AgentMessage::Pong(_) => {}
    }
}

/// Refuses peers until the endpoint closes: an entry opens all its links itself.
pub(crate) async fn refuse_links(shared: EntryShared) {
    while let Some(incoming) = shared.endpoint.accept().await {
        incoming.refuse();
    }
}

/// Takes an agent that leaves off the book before the directory says so.
fn leaving(shared: &EntryShared, agent: &NodeName) {
    let now = shared.now();
    shared.board.write(|state| {
        let live = state.links.get(agent).and_then(|link| {
            let live = link.live.borrow();
            live.as_ref().map(|live| live.incarnation)
        });
        if let Some(incarnation) = live {
            state.leaving_agents.insert((agent.clone(), incarnation));
        }
        state.agent_lost(agent, now);
    });
}
