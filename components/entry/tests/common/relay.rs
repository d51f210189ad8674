//! UDP proxy on the loopback interface. It can drop all packets or only those of the connections
//! that are open, in one or both directions, deliver packets late and twice, and bound the rate of
//! each client.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Bit of the first byte that marks a packet with a long header, as used in the handshake.
const LONG_HEADER: u8 = 0x80;

/// Length of the connection ids that the QUIC library chooses.
const CONNECTION_ID_BYTES: usize = 8;

/// Maximum size of a UDP packet.
const MAX_PACKET_BYTES: usize = 65_536;

/// Direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the client to the upstream.
    Upstream,
    /// From the upstream to the client.
    Downstream,
}

/// Both directions, for [`UdpProxy::cut`].
pub const BOTH: [Direction; 2] = [Direction::Upstream, Direction::Downstream];

/// Bounds of the link of each client, in each direction.
#[derive(Debug, Clone, Copy)]
pub struct LinkBounds {
    pub bytes_per_second: u32,
    /// One-way delay.
    pub delay: Duration,
    /// Time that a packet may wait for those before it. Packets that would wait longer are dropped.
    pub max_queue_time: Duration,
}

#[derive(Default)]
struct ProxyState {
    bounds: Option<LinkBounds>,
    /// Time at which the link of a client has sent all packets that it holds.
    free_at: HashMap<(Direction, SocketAddr), Instant>,
    cut_clients: HashSet<SocketAddr>,
    cut_directions: HashSet<Direction>,
    seen_connections: HashSet<(Direction, Vec<u8>)>,
    blocked_connections: HashSet<(Direction, Vec<u8>)>,
    blocked_at: Option<Instant>,
    reconnect_delay: Option<Duration>,
    delay: Duration,
    is_repeated: bool,
}

/// Delivery of a packet that is not dropped.
struct PacketDelivery {
    delay: Duration,
    is_repeated: bool,
}

pub struct UdpProxy {
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
    _tasks: JoinSet<()>,
}

impl UdpProxy {
    pub async fn start(upstream: SocketAddr) -> Self {
        let client_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = client_socket.local_addr().unwrap();
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_from_clients(client_socket, upstream, state.clone()));
        Self {
            address,
            state,
            _tasks: tasks,
        }
    }

    /// Starts a proxy with bounds on the link of each client.
    pub async fn start_bounded(upstream: SocketAddr, bounds: LinkBounds) -> Self {
        let proxy = Self::start(upstream).await;
        proxy.state.lock().unwrap().bounds = Some(bounds);
        proxy
    }

    /// Drops all packets to and from a client until [`heal`](Self::heal).
    pub fn cut_client(&self, client: SocketAddr) {
        self.state.lock().unwrap().cut_clients.insert(client);
    }

    /// Drops all further packets of the current connections.
    pub fn block_connections(&self) {
        self.block_connections_in(&BOTH);
    }

    /// Drops all further packets of the current connections in the given directions.
    pub fn block_connections_in(&self, directions: &[Direction]) {
        let mut state = self.state.lock().unwrap();
        let seen_connections = state.seen_connections.iter();
        state.blocked_connections = seen_connections
            .filter(|(direction, _)| directions.contains(direction))
            .cloned()
            .collect();
        state.blocked_at = Some(Instant::now());
        state.reconnect_delay = None;
    }

    /// Time from the block of the connections to the first handshake packet after it.
    pub fn reconnect_delay(&self) -> Option<Duration> {
        self.state.lock().unwrap().reconnect_delay
    }

    /// Drops all packets in the given directions, including those of new connections, until
    /// [`heal`](Self::heal).
    pub fn cut(&self, directions: &[Direction]) {
        let mut state = self.state.lock().unwrap();
        state.cut_directions = directions.iter().copied().collect();
    }

    /// Forwards all packets again, without delay but for that of the bounds.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.cut_clients.clear();
        state.cut_directions.clear();
        state.blocked_connections.clear();
        state.delay = Duration::ZERO;
        state.is_repeated = false;
    }

    /// Delivers every packet after a delay, and a second time after the same delay.
    pub fn delay_and_repeat(&self, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.delay = delay;
        state.is_repeated = true;
    }
}

impl ProxyState {
    /// Returns how a packet is delivered, or `None` if it is dropped.
    fn delivery(&mut self, path: (Direction, SocketAddr), packet: &[u8]) -> Option<PacketDelivery> {
        let (direction, client) = path;
        let is_cut = self.cut_directions.contains(&direction) || self.cut_clients.contains(&client);
        if is_cut || !self.is_forwarded(direction, packet) {
            return None;
        }
        let link_delay = match self.bounds {
            Some(bounds) => self.link_delay(bounds, path, packet.len())?,
            None => Duration::ZERO,
        };
        Some(PacketDelivery {
            delay: link_delay + self.delay,
            is_repeated: self.is_repeated,
        })
    }

    /// Returns the delay of a packet in the link of its client, or `None` if the queue is full.
    fn link_delay(
        &mut self,
        bounds: LinkBounds,
        path: (Direction, SocketAddr),
        bytes: usize,
    ) -> Option<Duration> {
        let now = Instant::now();
        let free_at = self.free_at.entry(path).or_insert(now);
        let start_at = (*free_at).max(now);
        if start_at - now > bounds.max_queue_time {
            return None;
        }
        let send_time = Duration::from_secs(bytes as u64) / bounds.bytes_per_second;
        *free_at = start_at + send_time;
        Some(*free_at - now + bounds.delay)
    }

    fn is_forwarded(&mut self, direction: Direction, packet: &[u8]) -> bool {
        if packet[0] & LONG_HEADER != 0 {
            if let Some(blocked_at) = self.blocked_at {
                self.reconnect_delay.get_or_insert(blocked_at.elapsed());
            }
            return true;
        }
        let Some(id) = packet.get(1..=CONNECTION_ID_BYTES) else {
            return true;
        };
        let connection = (direction, id.to_vec());
        if self.blocked_connections.contains(&connection) {
            return false;
        }
        self.seen_connections.insert(connection);
        true
    }
}

/// Forwards the packets of clients. Each client gets its own socket towards the upstream.
async fn forward_from_clients(
    client_socket: Arc<UdpSocket>,
    upstream: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
) {
    let mut upstream_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut packet = vec![0; MAX_PACKET_BYTES];
    loop {
        let Ok((size, source)) = client_socket.recv_from(&mut packet).await else {
            continue;
        };
        let upstream_socket = match upstream_sockets.entry(source) {
            Entry::Occupied(entry) => entry.get().clone(),
            Entry::Vacant(entry) => {
                let upstream_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                tasks.spawn(forward_to_client(
                    upstream_socket.clone(),
                    client_socket.clone(),
                    source,
                    state.clone(),
                ));
                entry.insert(upstream_socket).clone()
            }
        };
        deliver(
            &state,
            (Direction::Upstream, source),
            &packet[..size],
            &upstream_socket,
            upstream,
        )
        .await;
    }
}

async fn forward_to_client(
    upstream_socket: Arc<UdpSocket>,
    client_socket: Arc<UdpSocket>,
    source: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
) {
    let mut packet = vec![0; MAX_PACKET_BYTES];
    loop {
        let Ok(size) = upstream_socket.recv(&mut packet).await else {
            continue;
        };
        deliver(
            &state,
            (Direction::Downstream, source),
            &packet[..size],
            &client_socket,
            source,
        )
        .await;
    }
}

async fn deliver(
    state: &Mutex<ProxyState>,
    path: (Direction, SocketAddr),
    packet: &[u8],
    socket: &Arc<UdpSocket>,
    destination: SocketAddr,
) {
    let delivery = state.lock().unwrap().delivery(path, packet);
    let Some(PacketDelivery { delay, is_repeated }) = delivery else {
        return;
    };
    if delay.is_zero() {
        let _ = socket.send_to(packet, destination).await;
        return;
    }
    let (socket, packet) = (socket.clone(), packet.to_vec());
    tokio::spawn(async move {
        for _ in 0..1 + u32::from(is_repeated) {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&packet, destination).await;
        }
    });
}
