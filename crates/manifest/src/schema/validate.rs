//! Validation of a text against a table of keys.

use std::collections::HashMap;

use jsonc_parser::ast::{Array, Object, Value as Node};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use super::document::{Document, join};
use super::scalar;
use super::{Key, Kind, Presence};
use crate::edit_distance::closest_match;

/// JSON with comments and trailing commas, without further extensions.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses `text`, of at most `max_bytes`, and validates it against `keys`. The document holds the
/// values and all findings.
pub(crate) fn parse_and_validate<'a>(
    file: &str,
    text: &'a str,
    max_bytes: usize,
    keys: &'static [&'static [Key]],
) -> Document<'a> {
    let mut document = Document::new(file, text);
    if text.len() > max_bytes {
        let message = format!("the file has {} bytes, more than {max_bytes}", text.len());
        document.report_at(0, message, None);
        return document;
    }
    match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => match parsed.value {
            Some(Node::Object(object)) => {
                let mut validator = Validator {
                    keys_by_parent: group_by_parent(keys),
                    document,
                };
                validator.document.set_offset("", object.range.start);
                validator.document.value = validator.validate_object("", "", &object);
                return validator.document;
            }
            Some(other) => document.report_at(other.start(), "expected an object".to_owned(), None),
            None => document.report_at(0, "the file is empty".to_owned(), None),
        },
        Err(error) => {
            let message = lower_first(&error.kind().to_string());
            document.report_at(
                error.range().start,
                message,
                Some("fix the JSON syntax first".to_owned()),
            );
        }
    }
    document
}

/// Groups keys by the path of the object or list that contains them.
fn group_by_parent(keys: &'static [&'static [Key]]) -> HashMap<&'static str, Vec<&'static Key>> {
    let mut table: HashMap<&str, Vec<&Key>> = HashMap::new();
    for key in keys.iter().copied().flatten() {
        let parent = key.path.strip_suffix("[]").unwrap_or_else(|| key.parent());
        table.entry(parent).or_default().push(key);
    }
    table
}

fn lower_first(text: &str) -> String {
    let mut chars = text.chars();
    match chars.next() {
        Some(first) => first.to_lowercase().chain(chars).collect(),
        None => String::new(),
    }
}

struct Validator<'a> {
    /// The keys of each object and the element of each list, by the path of the object or list.
    keys_by_parent: HashMap<&'static str, Vec<&'static Key>>,
    document: Document<'a>,
}

impl Validator<'_> {
    /// Validates the object at `path` of the text against the keys below `schema` of the table.
    fn validate_object(&mut self, path: &str, schema: &str, object: &Object<'_>) -> Value {
        let keys = self.keys_by_parent.get(schema).cloned().unwrap_or_default();
        let mut map = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let Some(key) = keys.iter().find(|key| key.name() == name) else {
                self.report_unknown_key(name, property.range.start, &keys);
                continue;
            };
            if map.contains_key(name) {
                let message = format!("duplicate key {name:?}");
                self.document.report_at(
                    property.range.start,
                    message,
                    Some("keep one of them".to_owned()),
                );
                continue;
            }
            let value = self.validate_value(&join(path, name), key, &property.value);
            map.insert(name.to_owned(), value.unwrap_or(Value::Null));
        }
        for key in keys {
            if !map.contains_key(key.name()) {
                let value = self.absent_value(path, key, object.range.start);
                map.insert(key.name().to_owned(), value);
            }
        }
        Value::Object(map)
    }

    fn report_unknown_key(&mut self, name: &str, offset: usize, keys: &[&Key]) {
        if self.document.findings.is_full() {
            // Skips the search for the closest key: it takes minutes on a large text of unknown keys.
            self.document.findings.count_omitted();
            return;
        }
        let shown: String = name.chars().take(64).collect();
        let names = || keys.iter().map(|key| key.name());
        let help = match closest_match(name, names()) {
            Some(candidate) => format!("did you mean {candidate:?}?"),
            None => format!("known here: {}", names().collect::<Vec<_>>().join(", ")),
        };
        self.document
            .report_at(offset, format!("unknown key {shown:?}"), Some(help));
    }

    /// The value of a key that the text does not have.
    fn absent_value(&mut self, path: &str, key: &Key, offset: usize) -> Value {
        match key.presence {
            Presence::Optional => Value::Null,
            Presence::Required => {
                let help = format!("it takes {}", key.kind);
                let message = format!("the key {:?} is missing", key.name());
                self.document.report_at(offset, message, Some(help));
                Value::Null
            }
            Presence::Default("{}") => {
                let empty = Object {
                    range: Range::new(offset, offset),
                    properties: Vec::new(),
                };
                self.validate_object(&join(path, key.name()), key.path, &empty)
            }
            Presence::Default(json) => serde_json::from_str(json).unwrap_or(Value::Null),
        }
    }

    fn validate_value(&mut self, path: &str, key: &Key, node: &Node<'_>) -> Option<Value> {
        self.document.set_offset(path, node.start());
        match (key.kind, node) {
            (Kind::Object, Node::Object(object)) => {
                Some(self.validate_object(path, key.path, object))
            }
            (Kind::List { max }, Node::Array(array)) => {
                Some(self.validate_list(path, key, max, array))
            }
            (kind, node) => match scalar::validate(kind, node) {
                Ok(value) => Some(value),
                Err(problem) => {
                    let message =
                        format!("{}: {}", key.name().trim_end_matches("[]"), problem.message);
                    self.document
                        .report_at(node.start(), message, Some(problem.help));
                    None
                }
            },
        }
    }

    fn validate_list(&mut self, path: &str, key: &Key, max: usize, array: &Array<'_>) -> Value {
        if array.elements.len() > max {
            let message = format!("{} has {} elements", key.name(), array.elements.len());
            let help = format!("at most {max} are accepted");
            self.document
                .report_at(array.range.start, message, Some(help));
        }
        let element = self
            .keys_by_parent
            .get(key.path)
            .and_then(|rows| rows.first().copied());
        let Some(element) = element else {
            return Value::Null;
        };
        let validate = |(index, node): (usize, &Node<'_>)| {
            self.validate_value(&format!("{path}[{index}]"), element, node)
                .unwrap_or(Value::Null)
        };
        Value::Array(
            array
                .elements
                .iter()
                .take(max)
                .enumerate()
                .map(validate)
                .collect(),
        )
    }
}
