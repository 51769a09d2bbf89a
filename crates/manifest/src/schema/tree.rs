//! A text after the walk: values with defaults filled in, and where each stood.

use std::collections::{BTreeMap, HashMap};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::line_index::LineIndex;
use crate::{Finding, Findings};

/// The values of a text, the places of what was written, and the findings so far.
pub(crate) struct Tree<'a> {
    pub(crate) value: Value,
    pub(crate) findings: Findings,
    places: HashMap<String, usize>,
    lines: LineIndex<'a>,
}

impl<'a> Tree<'a> {
    pub(crate) fn new(file: &str, text: &'a str) -> Self {
        Self {
            value: Value::Null,
            findings: Findings::new(file),
            places: HashMap::new(),
            lines: LineIndex::new(text),
        }
    }

    pub(crate) fn set_place(&mut self, path: &str, offset: usize) {
        self.places.insert(path.to_owned(), offset);
    }

    /// Whether the text itself gives a value at `path`.
    pub(crate) fn is_given(&self, path: &str) -> bool {
        self.places.contains_key(path)
    }

    pub(crate) fn add_at(&mut self, offset: usize, message: String, help: Option<String>) {
        if self.findings.is_full() {
            self.findings.leave_out();
            return;
        }
        let (line, column) = self.lines.place(offset);
        self.findings.add(Finding {
            line,
            column,
            message,
            help,
        });
    }

    /// Adds a finding about the value at `path`, or about the nearest value around it.
    pub(crate) fn add(&mut self, path: &str, message: String, help: Option<String>) {
        let mut around = path;
        let offset = loop {
            match (self.places.get(around), around.rfind(['.', '['])) {
                (Some(offset), _) => break *offset,
                (None, Some(cut)) => around = &around[..cut],
                (None, None) => break self.places.get("").copied().unwrap_or(0),
            }
        };
        self.add_at(offset, message, help);
    }

    /// The typed value of a text without findings, else all findings.
    pub(crate) fn finish<T: DeserializeOwned>(mut self) -> Result<T, Findings> {
        if !self.findings.is_empty() {
            return Err(self.findings);
        }
        serde_json::from_value(std::mem::take(&mut self.value)).map_err(|error| {
            self.add("", error.to_string(), None);
            self.findings
        })
    }

    /// Every text found at `pattern`, with its path; `[]` in the pattern stands for every element.
    pub(crate) fn texts(&self, pattern: &str) -> Vec<(String, String)> {
        let mut found = vec![(String::new(), &self.value)];
        for step in pattern.split('.') {
            let (name, is_list) = match step.strip_suffix("[]") {
                Some(name) => (name, true),
                None => (step, false),
            };
            found = found
                .iter()
                .flat_map(|(path, value)| children(path, value, name, is_list))
                .collect();
        }
        let text = |(path, value): (String, &Value)| Some((path, value.as_str()?.to_owned()));
        found.into_iter().filter_map(text).collect()
    }

    /// Adds a finding for each text at `pattern` that stands there before.
    pub(crate) fn check_unique(&mut self, pattern: &str, what: &str) {
        let mut first: BTreeMap<String, String> = BTreeMap::new();
        for (path, text) in self.texts(pattern) {
            match first.get(&text) {
                Some(earlier) => {
                    let (line, _) = self
                        .lines
                        .place(self.places.get(earlier).copied().unwrap_or(0));
                    let help = format!("it stands first on line {line}; give each its own");
                    self.add(
                        &path,
                        format!("the {what} {text:?} is given twice"),
                        Some(help),
                    );
                }
                None => {
                    first.insert(text, path);
                }
            }
        }
    }

    /// Adds a finding for each text at `from` that is none of the texts at `to`.
    pub(crate) fn check_references(&mut self, from: &str, to: &str, what: &str) {
        let known: Vec<String> = self.texts(to).into_iter().map(|(_, text)| text).collect();
        for (path, text) in self.texts(from) {
            if !known.contains(&text) {
                let help = match crate::nearest::nearest(&text, known.iter().map(String::as_str)) {
                    Some(near) => format!("did you mean {near:?}?"),
                    None => format!("define it under {:?}", to.split("[]").next().unwrap_or(to)),
                };
                self.add(&path, format!("there is no {what} {text:?}"), Some(help));
            }
        }
    }
}

fn children<'v>(
    path: &str,
    value: &'v Value,
    name: &str,
    is_list: bool,
) -> Vec<(String, &'v Value)> {
    let Some(child) = value.get(name) else {
        return Vec::new();
    };
    let path = join(path, name);
    match child {
        Value::Array(elements) if is_list => {
            let place = |(at, element)| (format!("{path}[{at}]"), element);
            elements.iter().enumerate().map(place).collect()
        }
        child => vec![(path, child)],
    }
}

/// `name` under `path`; the outermost object has the empty path.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
