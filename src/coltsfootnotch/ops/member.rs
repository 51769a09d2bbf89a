//! `coltsfootnotch member`: changes the members of the control group.

use std::io::Write;

use coltsfootnotch_types::prelude::*;

use super::access::Access;
use super::error::OpsError;

/// A membership change; the group makes one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a host.
    Add {
        /// The new member; its daemon runs with an empty data folder.
        host: HostName,
    },
    /// Removes a host.
    Remove {
        /// The host.
        host: HostName,
    },
    /// Replaces a host by another, or by itself with an empty data folder.
    Replace {
        /// The host whose member is removed once the new member votes.
        host: HostName,
        /// The new member.
        with: HostName,
    },
}

/// Changes the control group.
///
/// # Errors
/// Returns an error when the members were not changed or the outcome is not known.
pub fn member(
    access: &Access,
    change: &MemberChange,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let connection = access.connect()?;
    let (client, timeout) = (&connection.client, access.timeout);
    match change {
        MemberChange::Add { host } => {
            client.admit(host, None, timeout)?;
            writeln!(out, "{host} is admitted; it votes once it has caught up")?;
        }
        MemberChange::Remove { host } => {
            client.remove(host, timeout)?;
            writeln!(out, "{host} is removed")?;
        }
        MemberChange::Replace { host, with } => {
            client.admit(with, Some(host), timeout)?;
            writeln!(
                out,
                "{with} is admitted; {host} is removed once it has caught up"
            )?;
        }
    }
    Ok(())
}
