//! Local authority that issues one certificate for each process.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, Issuer,
    KeyPair, KeyUsagePurpose,
};
use thiserror::Error;
use units::NodeName;
use wire::NodeRole;

use crate::identity::{node_domain, role_domain};

/// Fault of the authority.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file cannot be read or written.
    #[error("Failed to access key file {path}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A key or certificate cannot be made or read.
    #[error("Failed to issue a certificate")]
    Issue(#[from] rcgen::Error),
}

/// Paths of the files that a process needs.
#[derive(Debug, Clone)]
pub struct KeyFiles {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate of the process.
    pub certificate: PathBuf,
    /// Private key of the process.
    pub key: PathBuf,
}

impl KeyFiles {
    /// The files of a process in a key folder, as [`KeyAuthority::issue`] names them.
    pub fn in_folder(folder: &Path, role: NodeRole, name: &NodeName) -> Self {
        Self::with_stem(folder, &format!("{role}-{name}"))
    }

    /// The files of a process if it has some of its own, or else those of its role, as
    /// [`KeyAuthority::issue_role`] names them.
    pub fn find(folder: &Path, role: NodeRole, name: &NodeName) -> Self {
        let named = Self::in_folder(folder, role, name);
        match named.certificate.exists() {
            true => named,
            false => Self::with_stem(folder, &role.to_string()),
        }
    }

    fn with_stem(folder: &Path, stem: &str) -> Self {
        Self {
            authority: folder.join("authority.pem"),
            certificate: folder.join(format!("{stem}.pem")),
            key: folder.join(format!("{stem}.key")),
        }
    }
}

/// Authority whose key lies in the key folder.
pub struct KeyAuthority {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl KeyAuthority {
    /// Opens the authority in a folder, and creates it if there is none.
    pub fn open_or_create(folder: &Path) -> Result<Self, KeyError> {
        let certificate = folder.join("authority.pem");
        let key = folder.join("authority.key");
        if !certificate.exists() {
            create(folder, &certificate, &key)?;
        }
        let pair = KeyPair::from_pem(&read(&key)?)?;
        let issuer = Issuer::from_ca_cert_pem(&read(&certificate)?, pair)?;
        Ok(Self {
            folder: folder.into(),
            issuer,
        })
    }

    /// Issues the certificate and key of a process, and writes them to the folder.
    pub fn issue(&self, role: NodeRole, name: &NodeName) -> Result<KeyFiles, KeyError> {
        let files = KeyFiles::in_folder(&self.folder, role, name);
        self.issue_for(node_domain(role, name), role, files)
    }

    /// Issues a certificate and key that all processes of a role share, for deployments that give
    /// their hosts new names at each start.
    pub fn issue_role(&self, role: NodeRole) -> Result<KeyFiles, KeyError> {
        let files = KeyFiles::with_stem(&self.folder, &role.to_string());
        self.issue_for(node_domain(role, &NodeName::from("*")), role, files)
    }

    fn issue_for(
        &self,
        domain: String,
        role: NodeRole,
        files: KeyFiles,
    ) -> Result<KeyFiles, KeyError> {
        let domains = vec![role_domain(role), domain];
        let mut params = CertificateParams::new(domains)?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let pair = KeyPair::generate()?;
        let certificate = params.signed_by(&pair, &self.issuer)?;
        write(&files.certificate, &certificate.pem())?;
        write(&files.key, &pair.serialize_pem())?;
        Ok(files)
    }
}

fn create(folder: &Path, certificate: &Path, key: &Path) -> Result<(), KeyError> {
    fs::create_dir_all(folder).map_err(|source| KeyError::File {
        path: folder.into(),
        source,
    })?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    write(key, &issuer.key().serialize_pem())?;
    write(certificate, &issuer.pem())
}

fn read(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|source| KeyError::File {
        path: path.into(),
        source,
    })
}

/// Writes a file that only its owner can read.
fn write(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600);
    options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|source| KeyError::File {
            path: path.into(),
            source,
        })
}
