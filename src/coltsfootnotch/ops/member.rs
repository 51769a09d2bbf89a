//! `coltsfootnotch member`: who belongs to the control group.

use std::io::Write;

use coltsfootnotch_types::prelude::*;

use super::access::Access;
use super::error::OpsError;

/// A change of the control group; one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A host joins.
    Add {
        /// The newcomer; its daemon runs with an empty data folder.
        host: HostName,
    },
    /// A host leaves.
    Remove {
        /// The host.
        host: HostName,
    },
    /// A host takes the place of another, or comes back with an empty data folder.
    Replace {
        /// The host whose member is removed once the newcomer counts.
        host: HostName,
        /// The newcomer.
        with: HostName,
    },
}

/// Changes the control group.
///
/// # Errors
/// Returns why the members were not changed.
pub fn member(
    access: &Access,
    change: &MemberChange,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let connected = access.connect()?;
    let (client, patience) = (&connected.client, access.timeout);
    match change {
        MemberChange::Add { host } => {
            client.admit(host, None, patience)?;
            writeln!(out, "{host} is admitted; it counts once it has caught up")?;
        }
        MemberChange::Remove { host } => {
            client.remove(host, patience)?;
            writeln!(out, "{host} is removed")?;
        }
        MemberChange::Replace { host, with } => {
            client.admit(with, Some(host), patience)?;
            writeln!(
                out,
                "{with} is admitted; {host} is removed once it has caught up"
            )?;
        }
    }
    Ok(())
}
