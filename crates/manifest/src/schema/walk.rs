//! Checks a text against a table of keys.

use std::collections::HashMap;

use jsonc_parser::ast::{Array, Object, Value as Node};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use super::scalar;
use super::tree::{Tree, join};
use super::{Key, Kind, Need};
use crate::nearest::nearest;

/// Comments and trailing commas are accepted, nothing else beyond JSON.
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

/// Parses `text`, of `max_bytes` at most, and checks it against `keys`; the tree holds the values and
/// all findings.
pub(crate) fn read<'a>(
    file: &str,
    text: &'a str,
    max_bytes: usize,
    keys: &'static [&'static [Key]],
) -> Tree<'a> {
    let mut tree = Tree::new(file, text);
    if text.len() > max_bytes {
        let message = format!("the file has {} bytes, more than {max_bytes}", text.len());
        tree.add_at(0, message, None);
        return tree;
    }
    match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => match parsed.value {
            Some(Node::Object(object)) => {
                let mut walk = Walk {
                    table: by_parent(keys),
                    tree,
                };
                walk.tree.set_place("", object.range.start);
                walk.tree.value = walk.object("", "", &object);
                return walk.tree;
            }
            Some(other) => tree.add_at(other.start(), "expected an object".to_owned(), None),
            None => tree.add_at(0, "the file is empty".to_owned(), None),
        },
        Err(error) => {
            let message = lower_first(&error.kind().to_string());
            tree.add_at(
                error.range().start,
                message,
                Some("mend the JSON first".to_owned()),
            );
        }
    }
    tree
}

fn by_parent(keys: &'static [&'static [Key]]) -> HashMap<&'static str, Vec<&'static Key>> {
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

struct Walk<'a> {
    /// The keys of an object, or the one element of a list, by the path of what holds them.
    table: HashMap<&'static str, Vec<&'static Key>>,
    tree: Tree<'a>,
}

impl Walk<'_> {
    /// `path` is the place in this text, `schema` the same place in the table.
    fn object(&mut self, path: &str, schema: &str, object: &Object<'_>) -> Value {
        let keys = self.table.get(schema).cloned().unwrap_or_default();
        let mut map = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let Some(key) = keys.iter().find(|key| key.name() == name) else {
                self.unknown_key(name, property.range.start, &keys);
                continue;
            };
            if map.contains_key(name) {
                let message = format!("the key {name:?} is given twice");
                self.tree.add_at(
                    property.range.start,
                    message,
                    Some("keep one of them".to_owned()),
                );
                continue;
            }
            let value = self.value(&join(path, name), key, &property.value);
            map.insert(name.to_owned(), value.unwrap_or(Value::Null));
        }
        for key in keys {
            if !map.contains_key(key.name()) {
                let value = self.absent(path, key, object.range.start);
                map.insert(key.name().to_owned(), value);
            }
        }
        Value::Object(map)
    }

    fn unknown_key(&mut self, name: &str, offset: usize, keys: &[&Key]) {
        if self.tree.findings.is_full() {
            // The nearest key is not looked for: a text of unknown keys alone would take minutes.
            self.tree.findings.leave_out();
            return;
        }
        let shown: String = name.chars().take(64).collect();
        let names = || keys.iter().map(|key| key.name());
        let help = match nearest(name, names()) {
            Some(near) => format!("did you mean {near:?}?"),
            None => format!("known here: {}", names().collect::<Vec<_>>().join(", ")),
        };
        self.tree
            .add_at(offset, format!("unknown key {shown:?}"), Some(help));
    }

    fn absent(&mut self, path: &str, key: &Key, offset: usize) -> Value {
        match key.need {
            Need::Optional => Value::Null,
            Need::Required => {
                let help = format!("it takes {}", key.kind);
                let message = format!("the key {:?} is missing", key.name());
                self.tree.add_at(offset, message, Some(help));
                Value::Null
            }
            Need::Default("{}") => {
                let empty = Object {
                    range: Range::new(offset, offset),
                    properties: Vec::new(),
                };
                self.object(&join(path, key.name()), key.path, &empty)
            }
            Need::Default(json) => serde_json::from_str(json).unwrap_or(Value::Null),
        }
    }

    fn value(&mut self, path: &str, key: &Key, node: &Node<'_>) -> Option<Value> {
        self.tree.set_place(path, node.start());
        match (key.kind, node) {
            (Kind::Object, Node::Object(object)) => Some(self.object(path, key.path, object)),
            (Kind::List { max }, Node::Array(array)) => Some(self.list(path, key, max, array)),
            (kind, node) => match scalar::check(kind, node) {
                Ok(value) => Some(value),
                Err(problem) => {
                    let message =
                        format!("{}: {}", key.name().trim_end_matches("[]"), problem.message);
                    self.tree.add_at(node.start(), message, Some(problem.help));
                    None
                }
            },
        }
    }

    fn list(&mut self, path: &str, key: &Key, max: usize, array: &Array<'_>) -> Value {
        if array.elements.len() > max {
            let message = format!("{} has {} elements", key.name(), array.elements.len());
            let help = format!("at most {max} are accepted");
            self.tree.add_at(array.range.start, message, Some(help));
        }
        let element = self
            .table
            .get(key.path)
            .and_then(|rows| rows.first().copied());
        let Some(element) = element else {
            return Value::Null;
        };
        let read = |(at, node): (usize, &Node<'_>)| {
            self.value(&format!("{path}[{at}]"), element, node)
                .unwrap_or(Value::Null)
        };
        Value::Array(
            array
                .elements
                .iter()
                .take(max)
                .enumerate()
                .map(read)
                .collect(),
        )
    }
}
