//! Prints the table rows of `docs/EVENTS.md`.

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
