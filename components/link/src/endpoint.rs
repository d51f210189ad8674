//! QUIC endpoint that opens and accepts connections, and the streams of a connection.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quinn::{
    Connection, Endpoint, EndpointConfig, IdleTimeout, TokioRuntime, TransportConfig, VarInt,
};
use quinn_proto::HashedConnectionIdGenerator;
use ring::hmac;
use rustls::pki_types::CertificateDer;
use units::{ByteSize, Incarnation, NodeName};
use wire::{Hello, NodeRole, PROTOCOL_VERSION, StreamKind};

use crate::error::LinkError;
use crate::frames::{FrameReader, FrameWriter};
use crate::identity::{LinkIdentity, PeerCertificate, role_domain};

/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum interval between two stateless resets. With quinn's default of 20 ms, a restarted process with
/// 200 peers would take 4 s to reset the earlier connections of all of them.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(1);

/// Round trip that is assumed before the first reply. The first packet of a connection is repeated
/// after three times this. With the default of 333 ms, nodes that started together lost a second
/// whenever one sent its first packet before the other listened. Links between regions take 16 ms.
const INITIAL_RTT: Duration = Duration::from_millis(60);

/// Number of later packets that must arrive before a packet counts as lost, whatever the time. With the
/// default of 3, paths that delay packets unequally have 4 to 6% of them taken for lost, and the
/// congestion window stays at a few packets.
const REORDERING_PACKETS: u32 = 1_000;

/// Round trips after which a packet counts as lost if a later one has arrived.
const REORDERING_ROUND_TRIPS: f32 = 2.0;

/// Maximum number of concurrent streams that an entry may open on a connection to an agent: one for
/// each run.
const MAX_RUN_STREAMS: u32 = 4_096;

/// Maximum number of concurrent streams that a peer may open on a connection to any other node. The
/// state of all of them is allocated with the connection, and a control node has a connection to
/// each node of the fleet.
const MAX_REQUEST_STREAMS: u32 = 128;

/// QUIC endpoint of a process. Clones share its UDP socket.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    hello: Hello,
}

impl LinkEndpoint {
    /// Binds a UDP address on which connections are both opened and accepted.
    pub fn bind(
        address: SocketAddr,
        identity: &LinkIdentity,
        incarnation: Incarnation,
    ) -> Result<Self, LinkError> {
        let transport = Arc::new(transport_config(identity.role));
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(transport.clone());
        let mut client = quinn::ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(transport);
        let bind_error = |source| LinkError::Bind { address, source };
        let socket = UdpSocket::bind(address).map_err(bind_error)?;
        let config = endpoint_config(identity);
        let mut endpoint = Endpoint::new(config, Some(server), socket, Arc::new(TokioRuntime))
            .map_err(bind_error)?;
        endpoint.set_default_client_config(client);
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: identity.role,
            name: identity.name.clone(),
            incarnation,
            kind: StreamKind::Session,
        };
        Ok(Self { endpoint, hello })
    }

    /// Local address, with the port that the system chose if port 0 was bound.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("the endpoint is bound")
    }

    /// Name of the node that the endpoint belongs to.
    pub fn name(&self) -> &NodeName {
        &self.hello.name
    }

    /// Connects to a peer and verifies that its certificate was issued for this role.
    pub async fn connect(
        &self,
        address: SocketAddr,
        role: NodeRole,
    ) -> Result<PeerLink, LinkError> {
        let connect_error = |reason: String| LinkError::Connect { address, reason };
        let connecting = self
            .endpoint
            .connect(address, &role_domain(role))
            .map_err(|error| connect_error(error.to_string()))?;
        let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting)
            .await
            .map_err(|_| connect_error(format!("no reply within {HANDSHAKE_TIMEOUT:?}")))?
            .map_err(|error| connect_error(error.to_string()))?;
        let link = PeerLink::new(connection, self.hello.clone())?;
        if link.peer_certificate.role == role {
            Ok(link)
        } else {
            Err(LinkError::WrongPeer {
                address,
                expected: role.to_string(),
            })
        }
    }

    /// Waits for the next incoming connection; `None` when the endpoint is closed. The handshake is
    /// left to [`complete_handshake`](Self::complete_handshake), so that a slow peer does not delay
    /// other connections.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// Completes the handshake of an incoming connection and verifies the peer's certificate.
    pub async fn complete_handshake(
        &self,
        incoming: quinn::Incoming,
    ) -> Result<PeerLink, LinkError> {
        let address = incoming.remote_address();
        let connect_error = |reason: String| LinkError::Connect { address, reason };
        let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, incoming)
            .await
            .map_err(|_| connect_error(format!("not completed within {HANDSHAKE_TIMEOUT:?}")))?
            .map_err(|error| connect_error(error.to_string()))?;
        PeerLink::new(connection, self.hello.clone())
    }

    /// Closes all connections, and waits up to 1 s until the peers have acknowledged it.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = tokio::time::timeout(Duration::from_secs(1), self.endpoint.wait_idle()).await;
    }
}

/// Connection to a peer whose certificate was verified. Clones share the connection.
#[derive(Debug, Clone)]
pub struct PeerLink {
    connection: Connection,
    hello: Hello,
    peer_certificate: PeerCertificate,
}

/// Traffic of a connection: UDP payloads, without IP and UDP headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Size of all sent datagrams.
    pub sent: ByteSize,
    /// Number of sent datagrams.
    pub sent_datagrams: u64,
    /// Size of all received datagrams.
    pub received: ByteSize,
    /// Number of received datagrams.
    pub received_datagrams: u64,
    /// Number of packets that were sent and lost.
    pub lost_packets: u64,
    /// Estimated round trip.
    pub round_trip: Duration,
}

/// Stream opened by a peer.
#[derive(Debug)]
pub struct LinkStream {
    /// First frame of the stream; its role and name have been verified with the certificate.
    pub hello: Hello,
    /// Sending half of the stream.
    pub writer: FrameWriter,
    /// Receiving half of the stream.
    pub reader: FrameReader,
}

impl PeerLink {
    fn new(connection: Connection, hello: Hello) -> Result<Self, LinkError> {
        let address = connection.remote_address();
        let peer_certificate = connection
            .peer_identity()
            .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
            .and_then(|chain| chain.first().cloned())
            .and_then(PeerCertificate::from_verified)
            .ok_or_else(|| LinkError::WrongPeer {
                address,
                expected: "any role".into(),
            })?;
        Ok(Self {
            connection,
            hello,
            peer_certificate,
        })
    }

    /// Role for which the peer's certificate was issued.
    pub fn role(&self) -> NodeRole {
        self.peer_certificate.role
    }

    /// Current address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Opens a stream and sends its [`Hello`] frame.
    pub async fn open(&self, kind: StreamKind) -> Result<(FrameWriter, FrameReader), LinkError> {
        let (send, receive) = self
            .connection
            .open_bi()
            .await
            .map_err(|error| self.lost_error(error))?;
        let mut writer = FrameWriter::new(send);
        writer
            .send(&Hello {
                kind,
                ..self.hello.clone()
            })
            .await?;
        Ok((writer, FrameReader::new(receive)))
    }

    /// Waits for the next stream opened by the peer and verifies its [`Hello`] frame. After
    /// [`LinkError::Lost`] the connection is closed; other errors affect a single stream.
    pub async fn accept(&self) -> Result<LinkStream, LinkError> {
        let (send, receive) = self
            .connection
            .accept_bi()
            .await
            .map_err(|error| self.lost_error(error))?;
        let mut reader = FrameReader::new(receive);
        let hello = reader
            .receive::<Hello>()
            .await?
            .ok_or_else(|| LinkError::Stream("the stream ended before its first frame".into()))?;
        self.verify_hello(&hello)?;
        Ok(LinkStream {
            hello,
            writer: FrameWriter::new(send),
            reader,
        })
    }

    /// Traffic of the connection so far, including the overhead of QUIC.
    pub fn traffic(&self) -> LinkTraffic {
        let stats = self.connection.stats();
        LinkTraffic {
            sent: ByteSize(stats.udp_tx.bytes),
            sent_datagrams: stats.udp_tx.datagrams,
            received: ByteSize(stats.udp_rx.bytes),
            received_datagrams: stats.udp_rx.datagrams,
            lost_packets: stats.path.lost_packets,
            round_trip: stats.path.rtt,
        }
    }

    /// Closes the connection; `reason` is sent to the peer.
    pub fn close(&self, reason: &str) {
        self.connection
            .close(VarInt::from_u32(0), reason.as_bytes());
    }

    /// Waits until the connection is closed by either end or times out.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    fn verify_hello(&self, hello: &Hello) -> Result<(), LinkError> {
        if hello.version != PROTOCOL_VERSION {
            return Err(LinkError::WrongVersion {
                version: hello.version,
            });
        }
        if hello.role != self.peer_certificate.role
            || !self.peer_certificate.is_issued_to(&hello.name)
        {
            let expected = format!("{} {}", hello.role, hello.name);
            return Err(LinkError::WrongPeer {
                address: self.address(),
                expected,
            });
        }
        Ok(())
    }

    fn lost_error(&self, error: quinn::ConnectionError) -> LinkError {
        LinkError::Lost {
            address: self.address(),
            reason: error.to_string(),
        }
    }
}

/// Endpoint settings with which a restarted process answers packets of its earlier connections with a
/// stateless reset, so that peers do not wait for a timeout on them.
fn endpoint_config(identity: &LinkIdentity) -> EndpointConfig {
    let reset_key = identity.reset_key();
    let tag = hmac::sign(&reset_key, b"connection ids");
    let bytes = tag.as_ref().first_chunk().expect("the tag has 32 bytes");
    let id_key = u64::from_le_bytes(*bytes);
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config
}

fn transport_config(role: NodeRole) -> TransportConfig {
    let max_streams = match role {
        NodeRole::Agent => MAX_RUN_STREAMS,
        _ => MAX_REQUEST_STREAMS,
    };
    let mut transport = TransportConfig::default();
    transport
        .initial_rtt(INITIAL_RTT)
        .packet_threshold(REORDERING_PACKETS)
        .time_threshold(REORDERING_ROUND_TRIPS)
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(max_streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}
