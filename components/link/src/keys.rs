//! Certificate authority of an operator, kept in a local folder.

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

/// Error of the certificate authority.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A key file cannot be read or written.
    #[error("Failed to access key file {path}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A key or certificate cannot be created or parsed.
    #[error("Failed to create or parse a key or certificate")]
    Issue(#[from] rcgen::Error),
}

/// Paths of the key files that a process needs.
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
    /// Paths of the files that [`KeyAuthority::issue`] writes for a process.
    pub fn in_folder(folder: &Path, role: NodeRole, name: &NodeName) -> Self {
        Self::with_file_stem(folder, &format!("{role}-{name}"))
    }

    /// Paths of the files of a process if its own certificate exists, and otherwise of the files
    /// that [`KeyAuthority::issue_role`] writes for its role.
    pub fn find(folder: &Path, role: NodeRole, name: &NodeName) -> Self {
        let node_files = Self::in_folder(folder, role, name);
        match node_files.certificate.exists() {
            true => node_files,
            false => Self::with_file_stem(folder, &role.to_string()),
        }
    }

    fn with_file_stem(folder: &Path, stem: &str) -> Self {
        Self {
            authority: folder.join("authority.pem"),
            certificate: folder.join(format!("{stem}.pem")),
            key: folder.join(format!("{stem}.key")),
        }
    }
}

/// Certificate authority whose key is stored in the key folder.
pub struct KeyAuthority {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl KeyAuthority {
    /// Opens the authority in a folder. Creates the folder and the authority if they do not exist.
    pub fn open_or_create(folder: &Path) -> Result<Self, KeyError> {
        let certificate = folder.join("authority.pem");
        let key = folder.join("authority.key");
        if !certificate.exists() {
            create_authority(folder, &certificate, &key)?;
        }
        let key_pair = KeyPair::from_pem(&read_pem(&key)?)?;
        let issuer = Issuer::from_ca_cert_pem(&read_pem(&certificate)?, key_pair)?;
        Ok(Self {
            folder: folder.into(),
            issuer,
        })
    }

    /// Issues the certificate and key of a process and writes them to the folder, replacing earlier
    /// ones.
    pub fn issue(&self, role: NodeRole, name: &NodeName) -> Result<KeyFiles, KeyError> {
        let files = KeyFiles::in_folder(&self.folder, role, name);
        self.issue_certificate(node_domain(role, name), role, files)
    }

    /// Issues a certificate and key shared by all processes of a role, for deployments where hosts
    /// get a new name at each start.
    pub fn issue_role(&self, role: NodeRole) -> Result<KeyFiles, KeyError> {
        let files = KeyFiles::with_file_stem(&self.folder, &role.to_string());
        self.issue_certificate(node_domain(role, &NodeName::from("*")), role, files)
    }

    fn issue_certificate(
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
        let key_pair = KeyPair::generate()?;
        let certificate = params.signed_by(&key_pair, &self.issuer)?;
        write_private(&files.certificate, &certificate.pem())?;
        write_private(&files.key, &key_pair.serialize_pem())?;
        Ok(files)
    }
}

fn create_authority(folder: &Path, certificate: &Path, key: &Path) -> Result<(), KeyError> {
    fs::create_dir_all(folder).map_err(|source| KeyError::File {
        path: folder.into(),
        source,
    })?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    write_private(key, &issuer.key().serialize_pem())?;
    write_private(certificate, &issuer.pem())
}

fn read_pem(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|source| KeyError::File {
        path: path.into(),
        source,
    })
}

/// Writes a file; a new file is readable and writable only by its owner.
fn write_private(path: &Path, text: &str) -> Result<(), KeyError> {
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
