//! replicated log without I/O, and its synced files.
