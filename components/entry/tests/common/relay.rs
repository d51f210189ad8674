//! UDP relay on loopback. It can stop forwarding everything or only the connections that are open,
//! in one direction or both, and deliver packets late and twice.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Bit of the first byte that marks the long header of a handshake packet.
const LONG_HEADER: u8 = 0x80;

/// Length of connection ids, as the QUIC library chooses them.
const ID_BYTES: usize = 8;

/// Largest UDP packet, in bytes.
const PACKET_BYTES: usize = 65_536;

/// Way of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the side that connects.
    Forth,
    /// To the side that connects.
    Back,
}

/// Both ways.
pub const BOTH: [Direction; 2] = [Direction::Forth, Direction::Back];

#[derive(Default)]
struct RelayState {
    cut: HashSet<Direction>,
    seen: HashSet<(Direction, Vec<u8>)>,
    blocked: HashSet<(Direction, Vec<u8>)>,
    silenced: Option<Instant>,
    found: Option<Duration>,
    delay: Duration,
    repeats: bool,
}

/// How a packet is passed on.
struct Passage {
    delay: Duration,
    repeats: bool,
}

pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
    _tasks: JoinSet<()>,
}

impl Relay {
    pub async fn start(upstream: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap();
        let state = Arc::new(Mutex::new(RelayState::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(forward(front, upstream, state.clone()));
        Self {
            address,
            state,
            _tasks: tasks,
        }
    }

    /// Drops all packets of the present connections from now on.
    pub fn silence(&self) {
        self.silence_in(&BOTH);
    }

    /// Drops the packets of the present connections in some directions from now on.
    pub fn silence_in(&self, directions: &[Direction]) {
        let mut state = self.state.lock().unwrap();
        let seen = state.seen.iter();
        state.blocked = seen
            .filter(|(direction, _)| directions.contains(direction))
            .cloned()
            .collect();
        state.silenced = Some(Instant::now());
        state.found = None;
    }

    /// Time from the silence to the first packet of a new connection.
    pub fn found_after(&self) -> Option<Duration> {
        self.state.lock().unwrap().found
    }

    /// Drops all packets in some directions, those of new connections too, until it is healed.
    pub fn cut(&self, directions: &[Direction]) {
        let mut state = self.state.lock().unwrap();
        state.cut = directions.iter().copied().collect();
    }

    /// Passes everything on again.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.cut.clear();
        state.blocked.clear();
        state.delay = Duration::ZERO;
        state.repeats = false;
    }

    /// Delivers every packet late, and every packet once more after the same time.
    pub fn delay_and_repeat(&self, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.delay = delay;
        state.repeats = true;
    }
}

impl RelayState {
    /// How a packet is passed on; `None` drops it.
    fn passage(&mut self, direction: Direction, packet: &[u8]) -> Option<Passage> {
        if self.cut.contains(&direction) || !self.is_open(direction, packet) {
            return None;
        }
        Some(Passage {
            delay: self.delay,
            repeats: self.repeats,
        })
    }

    fn is_open(&mut self, direction: Direction, packet: &[u8]) -> bool {
        if packet[0] & LONG_HEADER != 0 {
            if let Some(silenced) = self.silenced {
                self.found.get_or_insert(silenced.elapsed());
            }
            return true;
        }
        let Some(id) = packet.get(1..=ID_BYTES) else {
            return true;
        };
        let key = (direction, id.to_vec());
        if self.blocked.contains(&key) {
            return false;
        }
        self.seen.insert(key);
        true
    }
}

/// Forwards packets; each side that connects gets a socket of its own towards the upstream.
async fn forward(front: Arc<UdpSocket>, upstream: SocketAddr, state: Arc<Mutex<RelayState>>) {
    let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok((size, source)) = front.recv_from(&mut packet).await else {
            continue;
        };
        let back = match backs.entry(source) {
            Entry::Occupied(entry) => entry.get().clone(),
            Entry::Vacant(entry) => {
                let back = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                tasks.spawn(send_back(
                    back.clone(),
                    front.clone(),
                    source,
                    state.clone(),
                ));
                entry.insert(back).clone()
            }
        };
        pass_on(&state, Direction::Forth, &packet[..size], &back, upstream).await;
    }
}

async fn send_back(
    back: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    source: SocketAddr,
    state: Arc<Mutex<RelayState>>,
) {
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok(size) = back.recv(&mut packet).await else {
            continue;
        };
        pass_on(&state, Direction::Back, &packet[..size], &front, source).await;
    }
}

async fn pass_on(
    state: &Mutex<RelayState>,
    direction: Direction,
    packet: &[u8],
    socket: &Arc<UdpSocket>,
    to: SocketAddr,
) {
    let passage = state.lock().unwrap().passage(direction, packet);
    let Some(Passage { delay, repeats }) = passage else {
        return;
    };
    if delay.is_zero() {
        let _ = socket.send_to(packet, to).await;
        return;
    }
    let (socket, packet) = (socket.clone(), packet.to_vec());
    tokio::spawn(async move {
        for _ in 0..1 + u32::from(repeats) {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&packet, to).await;
        }
    });
}
