//! Endpoint that connects to peers and accepts them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, IdleTimeout, TransportConfig, VarInt};
use rustls::pki_types::CertificateDer;
use units::{ByteSize, Incarnation};
use wire::{Hello, NodeRole, PROTOCOL_VERSION, StreamKind};

use crate::error::LinkError;
use crate::frames::{FrameReader, FrameWriter};
use crate::identity::{LinkIdentity, PeerCertificate, role_domain};

/// Time after which a connection without traffic is closed.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Longest wait for a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Streams that a peer may have open at once on one connection.
const MAX_STREAMS: u32 = 4_096;

/// UDP endpoint of a process.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    hello: Hello,
}

impl LinkEndpoint {
    /// Binds an address; it both accepts and opens connections.
    pub fn bind(
        address: SocketAddr,
        identity: &LinkIdentity,
        incarnation: Incarnation,
    ) -> Result<Self, LinkError> {
        let transport = Arc::new(transport());
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(transport.clone());
        let mut client = quinn::ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)
            .map_err(|source| LinkError::Bind { address, source })?;
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

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("the endpoint is bound")
    }

    /// Connects to a peer that must have this role.
    pub async fn connect(
        &self,
        address: SocketAddr,
        role: NodeRole,
    ) -> Result<PeerLink, LinkError> {
        let failed = |reason: String| LinkError::Connect { address, reason };
        let connecting = self
            .endpoint
            .connect(address, &role_domain(role))
            .map_err(|error| failed(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed(format!("no answer within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| failed(error.to_string()))?;
        let link = PeerLink::new(connection, self.hello.clone())?;
        if link.peer.role == role {
            Ok(link)
        } else {
            Err(LinkError::WrongPeer {
                address,
                expected: role.to_string(),
            })
        }
    }

    /// Waits for the next peer; `None` when the endpoint is closed. The handshake itself is in
    /// [`complete_handshake`](Self::complete_handshake), so that a slow peer holds up no other.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// Finishes the handshake of an accepted peer.
    pub async fn complete_handshake(
        &self,
        incoming: quinn::Incoming,
    ) -> Result<PeerLink, LinkError> {
        let address = incoming.remote_address();
        let failed = |reason: String| LinkError::Connect { address, reason };
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, incoming)
            .await
            .map_err(|_| failed(format!("no handshake within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| failed(error.to_string()))?;
        PeerLink::new(connection, self.hello.clone())
    }

    /// Closes all connections and waits until the peers know, one second at most.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = tokio::time::timeout(Duration::from_secs(1), self.endpoint.wait_idle()).await;
    }
}

/// Connection to a peer whose certificate was verified.
#[derive(Debug, Clone)]
pub struct PeerLink {
    connection: Connection,
    hello: Hello,
    peer: PeerCertificate,
}

/// Traffic of a connection: UDP payload, without the headers of IP and UDP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Bytes sent.
    pub sent: ByteSize,
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes received.
    pub received: ByteSize,
    /// Datagrams received.
    pub received_datagrams: u64,
}

/// A stream that a peer has opened.
#[derive(Debug)]
pub struct LinkStream {
    /// First frame of the peer; role and name are those of its certificate.
    pub hello: Hello,
    /// Sends to the peer.
    pub writer: FrameWriter,
    /// Receives from the peer.
    pub reader: FrameReader,
}

impl PeerLink {
    fn new(connection: Connection, hello: Hello) -> Result<Self, LinkError> {
        let address = connection.remote_address();
        let peer = connection
            .peer_identity()
            .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
            .and_then(|chain| chain.first().cloned())
            .and_then(PeerCertificate::from_verified)
            .ok_or_else(|| LinkError::WrongPeer {
                address,
                expected: "a role".into(),
            })?;
        Ok(Self {
            connection,
            hello,
            peer,
        })
    }

    /// Role in the peer's certificate.
    pub fn role(&self) -> NodeRole {
        self.peer.role
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Opens a stream and sends the first frame.
    pub async fn open(&self, kind: StreamKind) -> Result<(FrameWriter, FrameReader), LinkError> {
        let (send, receive) = self
            .connection
            .open_bi()
            .await
            .map_err(|error| self.lost(error))?;
        let mut writer = FrameWriter::new(send);
        writer
            .send(&Hello {
                kind,
                ..self.hello.clone()
            })
            .await?;
        Ok((writer, FrameReader::new(receive)))
    }

    /// Waits for the next stream of the peer. [`LinkError::Lost`] ends the connection; other
    /// errors concern one stream.
    pub async fn accept(&self) -> Result<LinkStream, LinkError> {
        let (send, receive) = self
            .connection
            .accept_bi()
            .await
            .map_err(|error| self.lost(error))?;
        let mut reader = FrameReader::new(receive);
        let hello = reader
            .receive::<Hello>()
            .await?
            .ok_or_else(|| LinkError::Stream("the stream ended before its first frame".into()))?;
        self.check(&hello)?;
        Ok(LinkStream {
            hello,
            writer: FrameWriter::new(send),
            reader,
        })
    }

    /// Bytes and datagrams of the connection so far, with QUIC's own overhead.
    pub fn traffic(&self) -> LinkTraffic {
        let stats = self.connection.stats();
        LinkTraffic {
            sent: ByteSize(stats.udp_tx.bytes),
            sent_datagrams: stats.udp_tx.datagrams,
            received: ByteSize(stats.udp_rx.bytes),
            received_datagrams: stats.udp_rx.datagrams,
        }
    }

    /// Closes the connection.
    pub fn close(&self, reason: &str) {
        self.connection
            .close(VarInt::from_u32(0), reason.as_bytes());
    }

    /// Waits until the connection is closed by either side.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    fn check(&self, hello: &Hello) -> Result<(), LinkError> {
        if hello.version != PROTOCOL_VERSION {
            return Err(LinkError::WrongVersion {
                version: hello.version,
            });
        }
        if hello.role != self.peer.role || !self.peer.is_issued_to(&hello.name) {
            let expected = format!("{} {}", hello.role, hello.name);
            return Err(LinkError::WrongPeer {
                address: self.address(),
                expected,
            });
        }
        Ok(())
    }

    fn lost(&self, error: quinn::ConnectionError) -> LinkError {
        LinkError::Lost {
            address: self.address(),
            reason: error.to_string(),
        }
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}
