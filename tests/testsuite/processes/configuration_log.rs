//! Checks the configurations that hosts logged as in force.

use super::daemon::Daemon;

/// Returns the numbers of the configurations that a host had in force, in order over all its runs.
pub(crate) fn configuration_numbers(daemon: &Daemon) -> Vec<u64> {
    let log = daemon.log();
    let lines = log.lines().filter(|line| line.contains(" CFN-0002 "));
    let numbers = lines.filter_map(|line| {
        let number = line.split(" number=").nth(1)?;
        number.split(' ').next()?.parse().ok()
    });
    numbers.collect()
}

/// Fails if a host had an earlier configuration in force after a later one, or none at all.
#[track_caller]
pub(crate) fn assert_never_reverted<'a>(daemons: impl Iterator<Item = &'a Daemon>) {
    for daemon in daemons {
        let numbers = configuration_numbers(daemon);
        assert!(
            numbers.is_sorted(),
            "{} reverted to an earlier configuration: {numbers:?}",
            daemon.host
        );
        assert!(
            !numbers.is_empty(),
            "{} had no configuration in force",
            daemon.host
        );
    }
}
