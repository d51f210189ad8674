//! Certificate and key of a process, and verified certificates of its peers.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use ring::hmac;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use units::NodeName;
use wire::NodeRole;

use crate::error::LinkError;
use crate::keys::KeyFiles;

/// Domain of the DNS names in the system's certificates.
const DOMAIN: &str = "bilberrycrank.internal";

/// Protocol name for ALPN, which both ends must offer in the TLS handshake.
const ALPN_PROTOCOL: &[u8] = b"bilberrycrank";

/// DNS name in the certificates of all processes of a role.
pub(crate) fn role_domain(role: NodeRole) -> String {
    format!("{role}.{DOMAIN}")
}

/// DNS name in the certificate of a single process.
pub(crate) fn node_domain(role: NodeRole, name: &NodeName) -> String {
    format!("{name}.{role}.{DOMAIN}")
}

/// Certificate chain and private key of a process, and the authority that verifies its peers.
#[derive(Debug)]
pub struct LinkIdentity {
    /// Role for which the certificate was issued.
    pub role: NodeRole,
    /// Node name for which the certificate was issued.
    pub name: NodeName,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl LinkIdentity {
    /// Reads the identity of a process from its key files. Fails if the certificate was not issued
    /// for this role and name.
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

    /// Parses the identity of a process from PEM text. Fails if the certificate was not issued for
    /// this role and name.
    pub fn from_pem(
        role: NodeRole,
        name: &NodeName,
        authority: &[u8],
        certificate: &[u8],
        key: &[u8],
    ) -> Result<Self, LinkError> {
        let mut roots = RootCertStore::empty();
        for root in CertificateDer::pem_slice_iter(authority) {
            roots
                .add(root.map_err(certificate_error)?)
                .map_err(certificate_error)?;
        }
        let chain = CertificateDer::pem_slice_iter(certificate)
            .collect::<Result<Vec<_>, _>>()
            .map_err(certificate_error)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(certificate_error)?;
        let identity = Self {
            role,
            name: name.clone(),
            chain,
            key,
            roots: Arc::new(roots),
        };
        identity.verify_name()?;
        Ok(identity)
    }

    /// Verifies that the certificate was issued for the role and name of the process.
    fn verify_name(&self) -> Result<(), LinkError> {
        let certificate = self
            .chain
            .first()
            .ok_or_else(|| certificate_error("the file contains no certificate"))?;
        let domain = node_domain(self.role, &self.name);
        if is_valid_for(certificate, &domain) {
            Ok(())
        } else {
            Err(certificate_error(format!(
                "the certificate was not issued for {domain}"
            )))
        }
    }

    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(certificate_error)?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(certificate_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(certificate_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        QuicServerConfig::try_from(config).map_err(certificate_error)
    }

    /// Key from which the process computes the tokens of stateless resets and the ids of connections. It
    /// is the same after a restart and differs between the nodes of a role, which share a private key.
    pub(crate) fn reset_key(&self) -> hmac::Key {
        let key = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        let context = format!("stateless reset of {}", self.name);
        let tag = hmac::sign(&key, context.as_bytes());
        hmac::Key::new(hmac::HMAC_SHA256, tag.as_ref())
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(certificate_error)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(certificate_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        QuicClientConfig::try_from(config).map_err(certificate_error)
    }
}

/// Certificate of a peer, verified in the handshake.
#[derive(Debug, Clone)]
pub struct PeerCertificate {
    /// Role for which the certificate was issued.
    pub role: NodeRole,
    certificate: CertificateDer<'static>,
}

impl PeerCertificate {
    /// Determines the role from a certificate that the handshake has verified; `None` if it was
    /// issued for no known role.
    pub(crate) fn from_verified(certificate: CertificateDer<'static>) -> Option<Self> {
        let role = NodeRole::ALL
            .into_iter()
            .find(|role| is_valid_for(&certificate, &role_domain(*role)))?;
        Some(Self { role, certificate })
    }

    /// Whether the certificate was issued for this node name, or for all names of its role.
    pub fn is_issued_to(&self, name: &NodeName) -> bool {
        is_valid_for(&self.certificate, &node_domain(self.role, name))
    }
}

/// Whether the certificate is valid for a DNS name, which may match a wildcard.
fn is_valid_for(certificate: &CertificateDer<'_>, domain: &str) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    let Ok(server) = ServerName::try_from(domain) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &server).is_ok()
}

fn certificate_error(reason: impl ToString) -> LinkError {
    LinkError::Certificate(reason.to_string())
}
