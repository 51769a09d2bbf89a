//! What hosts have logged of the configurations they had in force.

use super::daemon::Daemon;

/// The numbers that a host had in force, over all its runs, in order.
pub(crate) fn numbers(daemon: &Daemon) -> Vec<u64> {
    let log = daemon.log();
    let lines = log.lines().filter(|line| line.contains(" CFN-0002 "));
    let numbers = lines.filter_map(|line| {
        let number = line.split(" number=").nth(1)?;
        number.split(' ').next()?.parse().ok()
    });
    numbers.collect()
}

/// Fails when a host had an earlier configuration in force after a later one.
#[track_caller]
pub(crate) fn assert_never_back<'a>(daemons: impl Iterator<Item = &'a Daemon>) {
    for daemon in daemons {
        let numbers = numbers(daemon);
        assert!(
            numbers.is_sorted(),
            "{} went back: {numbers:?}",
            daemon.host
        );
        assert!(!numbers.is_empty(), "{} had no configuration", daemon.host);
    }
}
