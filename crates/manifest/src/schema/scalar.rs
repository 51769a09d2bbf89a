//! Validation of scalar values: words, numbers, names, addresses and paths.

use std::net::SocketAddr;

use coltsfootnotch_types::HostName;
use jsonc_parser::ast::Value as Node;
use serde_json::Value;

use super::Kind;
use crate::edit_distance::closest_match;
use crate::{KeyHash, PathPattern};

/// Longest file-system path.
const MAX_FILE_PATH_BYTES: usize = 4096;

/// Why a value is not accepted, and what is.
pub(crate) struct Problem {
    pub(crate) message: String,
    pub(crate) help: String,
}

/// Validates one value of the syntax tree.
pub(crate) fn validate(kind: Kind, node: &Node<'_>) -> Result<Value, Problem> {
    let result = match (kind, node) {
        (Kind::Bool, Node::BooleanLit(boolean)) => Ok(Value::Bool(boolean.value)),
        (Kind::Number { min, max, .. }, Node::NumberLit(number)) => {
            validate_number(number.value, min, max)
        }
        (Kind::Bool | Kind::Number { .. } | Kind::Object | Kind::List { .. }, node) => {
            Err(format!(
                "expected {}, found {}",
                expected_type(kind),
                type_name(node)
            ))
        }
        (kind, Node::StringLit(text)) => return validate_text(kind, &text.value),
        (kind, node) => Err(format!(
            "expected {}, found {}",
            expected_type(kind),
            type_name(node)
        )),
    };
    result.map_err(|message| Problem {
        message,
        help: format!("it takes {kind}"),
    })
}

fn validate_number(digits: &str, min: u64, max: u64) -> Result<Value, String> {
    let shown: String = digits.chars().take(32).collect();
    match digits.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Value::from(number)),
        _ if digits.contains(['.', 'e', 'E']) => Err(format!("{shown} is not a whole number")),
        _ => Err(format!("{shown} is out of range")),
    }
}

fn validate_text(kind: Kind, text: &str) -> Result<Value, Problem> {
    let problem = match kind {
        Kind::Choice(words) => {
            if words.contains(&text) {
                return Ok(Value::from(text));
            }
            let help = match closest_match(text, words.iter().copied()) {
                Some(candidate) => format!("did you mean {candidate:?}?"),
                None => format!("it takes {kind}"),
            };
            let shown: String = text.chars().take(64).collect();
            return Err(Problem {
                message: format!("{shown:?} is not accepted"),
                help,
            });
        }
        Kind::Name => HostName::new(text).err().map(|error| error.to_string()),
        Kind::PathPattern => PathPattern::new(text).err().map(|error| error.to_string()),
        Kind::Hash => KeyHash::parse(text).err().map(|error| error.to_string()),
        Kind::FilePath => file_path_problem(text),
        Kind::Address => address_problem(text, false),
        Kind::LoopbackAddress => address_problem(text, true),
        Kind::Object | Kind::List { .. } | Kind::Bool | Kind::Number { .. } => None,
    };
    match problem {
        None => Ok(Value::from(text)),
        Some(message) => Err(Problem {
            message,
            help: format!("it takes {kind}"),
        }),
    }
}

fn file_path_problem(text: &str) -> Option<String> {
    if text.is_empty() {
        return Some("the path is empty".to_owned());
    }
    if text.contains('\0') {
        return Some("the path contains a NUL character".to_owned());
    }
    (text.len() > MAX_FILE_PATH_BYTES).then(|| format!("the path is {} bytes long", text.len()))
}

fn address_problem(text: &str, loopback: bool) -> Option<String> {
    match text.parse::<SocketAddr>() {
        Err(_) => Some("not an IP address and port".to_owned()),
        Ok(address) if address.port() == 0 => Some("port 0 is not allowed".to_owned()),
        // Announcements are not authenticated, so only processes of the same host may send them.
        Ok(address) if loopback && !address.ip().is_loopback() => {
            Some(format!("{address} is not a loopback address"))
        }
        Ok(_) => None,
    }
}

fn expected_type(kind: Kind) -> &'static str {
    match kind {
        Kind::Object => "an object",
        Kind::List { .. } => "a list",
        Kind::Bool => "true or false",
        Kind::Number { .. } => "a number",
        _ => "a string",
    }
}

fn type_name(node: &Node<'_>) -> &'static str {
    match node {
        Node::StringLit(_) => "a string",
        Node::NumberLit(_) => "a number",
        Node::BooleanLit(_) => "a boolean",
        Node::Object(_) => "an object",
        Node::Array(_) => "a list",
        Node::NullKeyword(_) => "null",
    }
}
