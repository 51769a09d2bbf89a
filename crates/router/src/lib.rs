//! entry and sidecar cores of late binding, without I/O.
