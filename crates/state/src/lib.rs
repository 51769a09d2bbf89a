//! replicated state machine: configuration, bookings ledger, leases and fencing numbers.
