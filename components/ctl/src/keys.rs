//! Certificates and keys.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use link::{KeyAuthority, KeyFiles};
use units::NodeName;
use wire::NodeRole;

use crate::commands::CommandReport;
use crate::options::KeyCommand;

/// Creates the authority, or issues a certificate.
pub(crate) fn keys(folder: &Path, command: &KeyCommand) -> Result<CommandReport> {
    match command {
        KeyCommand::Init => {
            KeyAuthority::open_or_create(folder).wrap_err_with(|| {
                format!("Failed to open the authority in {}", folder.display())
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
    issue: impl FnOnce(&KeyAuthority, NodeRole) -> Result<KeyFiles>,
) -> Result<CommandReport> {
    let role: NodeRole = match role.parse() {
        Ok(role) => role,
        Err(fault) => return Ok(CommandReport::usage(fault)),
    };
    if !folder.join("authority.pem").exists() {
        return Err(eyre!(
            "Failed to issue: {} has no authority, run `keys init` first",
            folder.display()
        ));
    }
    let files = issue(&KeyAuthority::open_or_create(folder)?, role)?;
    Ok(CommandReport::done(format!(
        "{}\n{}\n",
        files.certificate.display(),
        files.key.display()
    )))
}
