//! `keys`: creates the certificate authority and issues certificates.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use link::{KeyAuthority, KeyFiles};
use units::NodeName;
use wire::NodeRole;

use crate::commands::CommandReport;
use crate::options::KeyCommand;

/// Runs a subcommand of `keys`.
pub(crate) fn run_key_command(folder: &Path, command: &KeyCommand) -> Result<CommandReport> {
    match command {
        KeyCommand::Init => {
            KeyAuthority::open_or_create(folder).wrap_err_with(|| {
                format!(
                    "Failed to open or create the certificate authority in {}",
                    folder.display()
                )
            })?;
            Ok(CommandReport::done(format!(
                "The authority is in {}.\n",
                folder.display()
            )))
        }
        KeyCommand::Issue { role, name } => issue(folder, role, |authority, role| {
            Ok(authority.issue(role, &NodeName::from(name.as_str()))?)
        }),
        KeyCommand::IssueRole { role } => issue(folder, role, |authority, role| {
            Ok(authority.issue_role(role)?)
        }),
    }
}

fn issue(
    folder: &Path,
    role: &str,
    issue_files: impl FnOnce(&KeyAuthority, NodeRole) -> Result<KeyFiles>,
) -> Result<CommandReport> {
    let role: NodeRole = match role.parse() {
        Ok(role) => role,
        Err(message) => return Ok(CommandReport::usage(message)),
    };
    if !folder.join("authority.pem").exists() {
        return Err(eyre!(
            "Failed to issue a certificate: no certificate authority in {}, run `keys init` first",
            folder.display()
        ));
    }
    let files = issue_files(&KeyAuthority::open_or_create(folder)?, role)?;
    Ok(CommandReport::done(format!(
        "{}\n{}\n",
        files.certificate.display(),
        files.key.display()
    )))
}
