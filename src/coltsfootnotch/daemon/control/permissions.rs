//! Operations that each role may propose.

use coltsfootnotch_state::Op;
use coltsfootnotch_types::Role;

/// Whether a process with this role may propose `op`.
///
/// Limits the damage of a stolen key: an entry's key can't change the configuration, and an operator's key
/// can't write bookings.
pub(super) fn is_permitted(role: Role, op: &Op) -> bool {
    match op {
        Op::ApplyConfig(_) | Op::SetLimits(_) | Op::SetEvacuation(_) => role == Role::Operator,
        Op::Ledger(_) | Op::Batch(_) => role == Role::Entry,
        // Orders are sent to an engine by the sidecar on its host.
        Op::Grant(_) | Op::Renew(_) | Op::Release(_) | Op::OrderDone(_) => role == Role::Sidecar,
        // Only proposed by control hosts.
        Op::Expire | Op::Evacuate(_) => false,
    }
}
