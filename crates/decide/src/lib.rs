//! decisions under load, without I/O: fair choice, admission, routing, retries.
