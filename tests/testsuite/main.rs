//! testsuite.

mod load;
