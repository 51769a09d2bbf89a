//! Which role may propose what.

use coltsfootnotch_state::Op;
use coltsfootnotch_types::Role;

/// Whether a process with this role may propose `op`.
///
/// Without this check a stolen entry key could put a configuration in force, and an operator's key
/// could write bookings that no caller made.
pub(super) fn permits(role: Role, op: &Op) -> bool {
    match op {
        Op::ApplyConfig(_) | Op::SetLimits(_) => role == Role::Operator,
        Op::Ledger(_) | Op::Batch(_) => role == Role::Entry,
        // Orders go to an engine from the sidecar beside it.
        Op::Grant(_) | Op::Renew(_) | Op::Release(_) | Op::OrderDone(_) => role == Role::Sidecar,
        // The leader proposes it by its own clock.
        Op::Expire => false,
    }
}
