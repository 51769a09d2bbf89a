//! `coltsfootnotch evacuate`: starts or ends the evacuation of a failure domain.

use std::io::Write;

use coltsfootnotch_state::{EvacuationReply, Op, Reply, SetEvacuation};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ProposeError;

use super::access::Access;
use super::error::OpsError;
use super::operator_client::OperatorError;

/// Starts or ends the evacuation of `domain`; returns once that is durable.
///
/// # Errors
/// Returns an error when the group refuses the order or does not answer.
pub fn evacuate(
    access: &Access,
    domain: &DomainName,
    evacuated: bool,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let connection = access.connect()?;
    let op = Op::SetEvacuation(SetEvacuation {
        domain: domain.clone(),
        evacuated,
    });
    match connection.client.propose(&op, access.timeout) {
        Ok(Reply::Evacuation(EvacuationReply::Done { .. })) => {
            let state = if evacuated { "is" } else { "is not" };
            writeln!(out, "{domain} {state} evacuated")?;
            Ok(())
        }
        Ok(Reply::Evacuation(EvacuationReply::TooMany)) => Err(OpsError::EvacuationRefused {
            reason: "too many failure domains are evacuated",
        }),
        Ok(Reply::Evacuation(EvacuationReply::Superseded { .. })) => {
            Err(OpsError::EvacuationRefused {
                reason: "another order for it was accepted meanwhile",
            })
        }
        Ok(other) => Err(OpsError::Refused {
            reason: format!("unexpected reply {other:?}"),
        }),
        Err(OperatorError::Group(ProposeError::BadCommand)) => Err(OpsError::EvacuationRefused {
            reason: "no host is in this failure domain",
        }),
        Err(e) => Err(e.into()),
    }
}
