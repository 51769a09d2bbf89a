//! coltsfootnotch.
