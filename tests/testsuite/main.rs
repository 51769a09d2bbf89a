//! testsuite.
