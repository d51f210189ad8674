//! Certificate of a process, and what a peer's certificate says.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use units::NodeName;
use wire::NodeRole;

use crate::error::LinkError;
use crate::keys::KeyFiles;

/// Suffix of the names in the system's certificates.
const DOMAIN: &str = "bilberrycrank.internal";

/// Name of the application protocol, agreed in the handshake.
const PROTOCOL: &[u8] = b"bilberrycrank";

/// Name in a certificate that states a role.
pub(crate) fn role_domain(role: NodeRole) -> String {
    format!("{role}.{DOMAIN}")
}

/// Name in a certificate that states a role and a name.
pub(crate) fn node_domain(role: NodeRole, name: &NodeName) -> String {
    format!("{name}.{role}.{DOMAIN}")
}

/// Certificate, key and authority of a process.
#[derive(Debug)]
pub struct LinkIdentity {
    /// Role in the certificate.
    pub role: NodeRole,
    /// Name in the certificate.
    pub name: NodeName,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl LinkIdentity {
    /// Reads the identity of a process from its key files.
    pub fn load(role: NodeRole, name: &NodeName, files: &KeyFiles) -> Result<Self, LinkError> {
        let read = |path: &Path| {
            std::fs::read(path).map_err(|source| LinkError::KeyFile {
                path: path.into(),
                source,
            })
        };
        Self::from_pem(
            role,
            name,
            &read(&files.authority)?,
            &read(&files.certificate)?,
            &read(&files.key)?,
        )
    }

    /// Creates the identity from PEM text.
    pub fn from_pem(
        role: NodeRole,
        name: &NodeName,
        authority: &[u8],
        certificate: &[u8],
        key: &[u8],
    ) -> Result<Self, LinkError> {
        let mut roots = RootCertStore::empty();
        for root in CertificateDer::pem_slice_iter(authority) {
            roots.add(root.map_err(fault)?).map_err(fault)?;
        }
        let chain = CertificateDer::pem_slice_iter(certificate)
            .collect::<Result<Vec<_>, _>>()
            .map_err(fault)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(fault)?;
        let identity = Self {
            role,
            name: name.clone(),
            chain,
            key,
            roots: Arc::new(roots),
        };
        identity.check()?;
        Ok(identity)
    }

    /// Checks that the certificate names the role and the name of the process.
    fn check(&self) -> Result<(), LinkError> {
        let first = self
            .chain
            .first()
            .ok_or_else(|| fault("the file has no certificate"))?;
        let domain = node_domain(self.role, &self.name);
        if names(first, &domain) {
            Ok(())
        } else {
            Err(fault(format!("the certificate does not name {domain}")))
        }
    }

    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(fault)?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicServerConfig::try_from(config).map_err(fault)
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicClientConfig::try_from(config).map_err(fault)
    }
}

/// What the certificate of a peer proves.
#[derive(Debug, Clone)]
pub struct PeerCertificate {
    /// Role of the peer.
    pub role: NodeRole,
    certificate: CertificateDer<'static>,
}

impl PeerCertificate {
    /// Reads the role from a certificate that the handshake has verified.
    pub(crate) fn from_verified(certificate: CertificateDer<'static>) -> Option<Self> {
        let role = NodeRole::ALL
            .into_iter()
            .find(|role| names(&certificate, &role_domain(*role)))?;
        Some(Self { role, certificate })
    }

    /// Whether the certificate was issued for this name.
    pub fn is_issued_to(&self, name: &NodeName) -> bool {
        names(&self.certificate, &node_domain(self.role, name))
    }
}

fn names(certificate: &CertificateDer<'_>, domain: &str) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    let Ok(server) = ServerName::try_from(domain) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &server).is_ok()
}

fn fault(reason: impl ToString) -> LinkError {
    LinkError::Certificate(reason.to_string())
}
