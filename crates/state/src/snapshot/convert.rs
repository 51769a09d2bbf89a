//! Conversions between the in-memory state and its snapshot.

use super::{
    AccountV1, ConfigV1, EvacuationsV2, EvacuationsV3, FinishedV1, LeaseV1, StateV1, StateV2,
    StateV3,
};
use crate::{
    AcceptedConfig, BodyDigest, BookingRecord, ConfigState, Evacuations, FinishedOrder,
    FinishedOrders, Lease, Leases, Ledger, LedgerLimits, LogTime, SnapshotError, StateMachine,
};

impl From<&StateMachine> for StateV3 {
    fn from(machine: &StateMachine) -> Self {
        let evacuations = &machine.evacuations;
        let last_orders = evacuations.last_orders.iter();
        Self {
            state: StateV1::from(machine),
            evacuations: EvacuationsV3 {
                evacuations: EvacuationsV2 {
                    revision: evacuations.revision,
                    domains: evacuations.domains.iter().cloned().collect(),
                },
                last_orders: last_orders.map(|(d, i)| (d.clone(), *i)).collect(),
                forgotten_orders: evacuations.forgotten_orders,
            },
        }
    }
}

impl From<StateV2> for StateV3 {
    /// Every domain had its last order at the last change or before; later orders changed nothing.
    fn from(disk: StateV2) -> Self {
        Self {
            state: disk.state,
            evacuations: EvacuationsV3 {
                last_orders: Vec::new(),
                forgotten_orders: disk.evacuations.revision,
                evacuations: disk.evacuations,
            },
        }
    }
}

impl From<&StateMachine> for StateV1 {
    fn from(machine: &StateMachine) -> Self {
        let config = machine.config.in_force.as_ref();
        let accounts = machine.ledger.accounts.iter();
        let leases = machine.leases.by_name.iter();
        Self {
            applied: machine.applied,
            now: machine.now,
            config: config.map(ConfigV1::from),
            history: machine.config.history.clone().into_iter().collect(),
            limits: machine.ledger.limits,
            floor: machine.ledger.floor,
            accounts: accounts
                .map(|(account, a)| AccountV1 {
                    account: account.clone(),
                    records: a.records.iter().map(|(k, r)| (*k, r.into())).collect(),
                    tombstones: a.tombstones.iter().copied().collect(),
                })
                .collect(),
            leases: leases
                .map(|(name, lease)| LeaseV1 {
                    name: name.clone(),
                    holder: lease.holder.clone(),
                    number: lease.number,
                    expires_at: lease.expires_at,
                    released: lease.released,
                    expired_predecessor: lease.expired_predecessor,
                })
                .collect(),
            finished: machine
                .finished
                .iter()
                .map(|(upstream, incarnation, orders)| FinishedV1 {
                    upstream: upstream.clone(),
                    incarnation,
                    orders: orders.iter().map(|f| (f.at, f.action.clone())).collect(),
                })
                .collect(),
        }
    }
}

impl From<&AcceptedConfig> for ConfigV1 {
    fn from(config: &AcceptedConfig) -> Self {
        Self {
            number: config.number,
            digest: config.digest,
            body: config.body.clone(),
        }
    }
}

impl TryFrom<StateV3> for StateMachine {
    type Error = SnapshotError;

    fn try_from(disk: StateV3) -> Result<Self, SnapshotError> {
        let StateV3 {
            state: disk,
            evacuations: orders,
        } = disk;
        let evacuations = orders.evacuations;
        if evacuations.revision > disk.applied {
            let what = "revision of the evacuations above the applied index";
            return Err(SnapshotError::Inconsistent { what });
        }
        Ok(Self {
            evacuations: Evacuations {
                revision: evacuations.revision,
                domains: evacuations.domains.into_iter().collect(),
                last_orders: orders.last_orders.into_iter().collect(),
                forgotten_orders: orders.forgotten_orders,
            },
            applied: disk.applied,
            now: disk.now,
            config: config(disk.config, disk.history)?,
            ledger: ledger(disk.limits, disk.floor, disk.accounts)?,
            leases: leases(disk.leases, disk.applied)?,
            finished: finished(disk.finished),
        })
    }
}

fn config(
    disk: Option<ConfigV1>,
    history: Vec<(u64, BodyDigest)>,
) -> Result<ConfigState, SnapshotError> {
    let in_force = disk.map(|c| AcceptedConfig {
        number: c.number,
        digest: c.digest,
        body: c.body,
    });
    let newest = history.last().copied();
    if in_force.as_ref().map(|c| (c.number, c.digest)) != newest {
        let what = "the configuration in force is not the newest in the history";
        return Err(SnapshotError::Inconsistent { what });
    }
    let history = history.into_iter().collect();
    Ok(ConfigState { in_force, history })
}

fn ledger(
    limits: LedgerLimits,
    floor: Option<LogTime>,
    accounts: Vec<AccountV1>,
) -> Result<Ledger, SnapshotError> {
    let mut ledger = Ledger::restored(limits, floor);
    for a in accounts {
        for (key, disk) in a.records {
            let record = BookingRecord::try_from(disk)?;
            if !ledger.restore_record(&a.account, key, record) {
                let what = "duplicate ledger key";
                return Err(SnapshotError::Inconsistent { what });
            }
        }
        ledger.restore_tombstones(&a.account, a.tombstones);
    }
    Ok(ledger)
}

fn leases(disk: Vec<LeaseV1>, applied: u64) -> Result<Leases, SnapshotError> {
    let mut leases = Leases::default();
    for l in disk {
        if l.number.0 > applied {
            let what = "fencing number above the applied index";
            return Err(SnapshotError::Inconsistent { what });
        }
        let lease = Lease {
            holder: l.holder,
            number: l.number,
            expires_at: l.expires_at,
            released: l.released,
            expired_predecessor: l.expired_predecessor,
        };
        leases.by_name.insert(l.name, lease);
    }
    Ok(leases)
}

fn finished(disk: Vec<FinishedV1>) -> FinishedOrders {
    let by_upstream = disk.into_iter().map(|f| {
        let orders = f.orders.into_iter();
        let done = orders.map(|(at, action)| FinishedOrder { at, action });
        (f.upstream, (f.incarnation, done.collect()))
    });
    FinishedOrders {
        by_upstream: by_upstream.collect(),
    }
}
