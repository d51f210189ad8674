//! UDP relay between an entry and an agent. It can stop forwarding the packets of the connections
//! that are open, while new connections work.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Bit of the first byte that marks the long header of a handshake packet.
const LONG_HEADER: u8 = 0x80;

/// Length of connection ids, as the QUIC library chooses them.
const ID_BYTES: usize = 8;

#[derive(Default)]
struct RelayState {
    seen: HashSet<Vec<u8>>,
    blocked: HashSet<Vec<u8>>,
    silenced: Option<Instant>,
    found: Option<Duration>,
    entry: Option<SocketAddr>,
}

pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
    _tasks: JoinSet<()>,
}

impl Relay {
    pub async fn start(agent: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let back = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        back.connect(agent).await.unwrap();
        let address = front.local_addr().unwrap();
        let state = Arc::new(Mutex::new(RelayState::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(to_agent(front.clone(), back.clone(), state.clone()));
        tasks.spawn(to_entry(front, back, state.clone()));
        Self {
            address,
            state,
            _tasks: tasks,
        }
    }

    /// Drops all packets of the present connections from now on.
    pub fn silence(&self) {
        let mut state = self.state.lock().unwrap();
        state.blocked = state.seen.clone();
        state.silenced = Some(Instant::now());
    }

    /// Time from the silence to the first packet of a new connection.
    pub fn found_after(&self) -> Option<Duration> {
        self.state.lock().unwrap().found
    }
}

impl RelayState {
    /// Whether a packet is passed on.
    fn passes(&mut self, packet: &[u8]) -> bool {
        if packet[0] & LONG_HEADER != 0 {
            if let Some(silenced) = self.silenced {
                self.found.get_or_insert(silenced.elapsed());
            }
            return true;
        }
        let id = packet[1..=ID_BYTES].to_vec();
        if self.blocked.contains(&id) {
            return false;
        }
        self.seen.insert(id);
        true
    }
}

async fn to_agent(front: Arc<UdpSocket>, back: Arc<UdpSocket>, state: Arc<Mutex<RelayState>>) {
    let mut packet = vec![0; 65_536];
    while let Ok((size, entry)) = front.recv_from(&mut packet).await {
        let passes = {
            let mut state = state.lock().unwrap();
            state.entry = Some(entry);
            state.passes(&packet[..size])
        };
        if passes {
            let _ = back.send(&packet[..size]).await;
        }
    }
}

async fn to_entry(front: Arc<UdpSocket>, back: Arc<UdpSocket>, state: Arc<Mutex<RelayState>>) {
    let mut packet = vec![0; 65_536];
    loop {
        let Ok(size) = back.recv(&mut packet).await else {
            continue;
        };
        let entry = {
            let mut state = state.lock().unwrap();
            state.entry.filter(|_| state.passes(&packet[..size]))
        };
        if let Some(entry) = entry {
            let _ = front.send_to(&packet[..size], entry).await;
        }
    }
}
