//! state charts read from JSON files and interpreted.
