//! A validated text: its values with defaults filled in, and their positions.

use std::collections::{BTreeMap, HashMap};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::line_index::LineIndex;
use crate::{Finding, Findings};

/// The values of a text, the byte offsets of those written in it, and the findings so far.
pub(crate) struct Document<'a> {
    pub(crate) value: Value,
    pub(crate) findings: Findings,
    offsets: HashMap<String, usize>,
    lines: LineIndex<'a>,
}

impl<'a> Document<'a> {
    pub(crate) fn new(file: &str, text: &'a str) -> Self {
        Self {
            value: Value::Null,
            findings: Findings::new(file),
            offsets: HashMap::new(),
            lines: LineIndex::new(text),
        }
    }

    pub(crate) fn set_offset(&mut self, path: &str, offset: usize) {
        self.offsets.insert(path.to_owned(), offset);
    }

    /// Whether the text has a value at `path`, other than a default.
    pub(crate) fn is_present(&self, path: &str) -> bool {
        self.offsets.contains_key(path)
    }

    /// Adds a finding at a byte offset.
    pub(crate) fn report_at(&mut self, offset: usize, message: String, help: Option<String>) {
        if self.findings.is_full() {
            self.findings.count_omitted();
            return;
        }
        let (line, column) = self.lines.line_column(offset);
        self.findings.add(Finding {
            line,
            column,
            message,
            help,
        });
    }

    /// Adds a finding at the value at `path`, or at its nearest ancestor written in the text.
    pub(crate) fn report(&mut self, path: &str, message: String, help: Option<String>) {
        let mut ancestor = path;
        let offset = loop {
            match (self.offsets.get(ancestor), ancestor.rfind(['.', '['])) {
                (Some(offset), _) => break *offset,
                (None, Some(end)) => ancestor = &ancestor[..end],
                (None, None) => break self.offsets.get("").copied().unwrap_or(0),
            }
        };
        self.report_at(offset, message, help);
    }

    /// Deserializes the values, or returns the findings if there are any.
    pub(crate) fn finish<T: DeserializeOwned>(mut self) -> Result<T, Findings> {
        if !self.findings.is_empty() {
            return Err(self.findings);
        }
        serde_json::from_value(std::mem::take(&mut self.value)).map_err(|error| {
            self.report("", error.to_string(), None);
            self.findings
        })
    }

    /// Every string at `pattern`, with its path; `[]` in the pattern matches every list element.
    pub(crate) fn strings_at(&self, pattern: &str) -> Vec<(String, String)> {
        let mut matches = vec![(String::new(), &self.value)];
        for step in pattern.split('.') {
            let (name, is_list) = match step.strip_suffix("[]") {
                Some(name) => (name, true),
                None => (step, false),
            };
            matches = matches
                .iter()
                .flat_map(|(path, value)| children(path, value, name, is_list))
                .collect();
        }
        let as_string = |(path, value): (String, &Value)| Some((path, value.as_str()?.to_owned()));
        matches.into_iter().filter_map(as_string).collect()
    }

    /// Adds a finding for each string at `pattern` that equals an earlier one.
    pub(crate) fn check_unique(&mut self, pattern: &str, what: &str) {
        let mut first_paths: BTreeMap<String, String> = BTreeMap::new();
        for (path, text) in self.strings_at(pattern) {
            match first_paths.get(&text) {
                Some(earlier) => {
                    let (line, _) = self
                        .lines
                        .line_column(self.offsets.get(earlier).copied().unwrap_or(0));
                    let help = format!("first used on line {line}; use a different one");
                    self.report(&path, format!("duplicate {what} {text:?}"), Some(help));
                }
                None => {
                    first_paths.insert(text, path);
                }
            }
        }
    }

    /// Adds a finding for each string at `from` that does not occur at `to`.
    pub(crate) fn check_references(&mut self, from: &str, to: &str, what: &str) {
        let targets: Vec<String> = self
            .strings_at(to)
            .into_iter()
            .map(|(_, text)| text)
            .collect();
        for (path, text) in self.strings_at(from) {
            if !targets.contains(&text) {
                let help = match crate::edit_distance::closest_match(
                    &text,
                    targets.iter().map(String::as_str),
                ) {
                    Some(candidate) => format!("did you mean {candidate:?}?"),
                    None => format!("define it under {:?}", to.split("[]").next().unwrap_or(to)),
                };
                self.report(&path, format!("there is no {what} {text:?}"), Some(help));
            }
        }
    }
}

/// The values of the key `name` in `value`, with their paths: the elements if it is a list.
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
            let with_path = |(index, element)| (format!("{path}[{index}]"), element);
            elements.iter().enumerate().map(with_path).collect()
        }
        child => vec![(path, child)],
    }
}

/// Appends `name` to `path`; the path of the top-level object is empty.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
