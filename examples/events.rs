//! Prints the rows of `docs/EVENTS.md`, to be put there when an event changes.

use coltsfootnotch::util::events::CATALOGUE;

fn main() {
    for event in CATALOGUE {
        let level = event.level.to_string().to_lowercase();
        println!(
            "| {} | {level} | {} | {} |",
            event.code(),
            event.text,
            event.action
        );
    }
}
