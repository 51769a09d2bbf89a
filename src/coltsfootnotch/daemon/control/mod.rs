//! The control role: replicated log, relay of its failure domain.
