//! Numbers in place of names.

use std::collections::HashMap;

/// Numbers of names, in the order of their first use.
#[derive(Debug, Clone, Default)]
pub(super) struct NameNumbers {
    by_name: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameNumbers {
    /// The number of a name.
    pub(super) fn get(&mut self, name: &str) -> u32 {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.by_name.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// How many names have a number.
    pub(super) fn count(&self) -> usize {
        self.names.len()
    }

    /// The names from the number `from` on.
    pub(super) fn since(&self, from: usize) -> Vec<(u32, String)> {
        let names = self.names.iter().enumerate().skip(from);
        names
            .map(|(number, name)| (number as u32, name.clone()))
            .collect()
    }
}
