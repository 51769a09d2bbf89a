//! hosts, heartbeats, leases and detection of silence, per failure domain.
