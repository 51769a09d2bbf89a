//! Checks of single values: words, numbers, names, addresses and paths.

use std::net::SocketAddr;

use coltsfootnotch_types::HostName;
use jsonc_parser::ast::Value as Node;
use serde_json::Value;

use super::Kind;
use crate::nearest::nearest;
use crate::{KeyHash, PathPattern};

/// Longest path in the file system.
const MAX_FILE_PATH_BYTES: usize = 4096;

/// What is wrong with a value, and what would be right.
pub(crate) struct Problem {
    pub(crate) message: String,
    pub(crate) help: String,
}

/// Checks one value of the syntax tree.
pub(crate) fn check(kind: Kind, node: &Node<'_>) -> Result<Value, Problem> {
    let checked = match (kind, node) {
        (Kind::Flag, Node::BooleanLit(flag)) => Ok(Value::Bool(flag.value)),
        (Kind::Number { min, max, .. }, Node::NumberLit(number)) => {
            check_number(number.value, min, max)
        }
        (Kind::Flag | Kind::Number { .. } | Kind::Object | Kind::List { .. }, node) => {
            Err(format!("expected {}, found {}", word(kind), found(node)))
        }
        (kind, Node::StringLit(text)) => return check_text(kind, &text.value),
        (kind, node) => Err(format!("expected {}, found {}", word(kind), found(node))),
    };
    checked.map_err(|message| Problem {
        message,
        help: format!("it takes {kind}"),
    })
}

fn check_number(digits: &str, min: u64, max: u64) -> Result<Value, String> {
    let shown: String = digits.chars().take(32).collect();
    match digits.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Value::from(number)),
        _ if digits.contains(['.', 'e', 'E']) => Err(format!("{shown} is not a whole number")),
        _ => Err(format!("{shown} is out of range")),
    }
}

fn check_text(kind: Kind, text: &str) -> Result<Value, Problem> {
    let problem = match kind {
        Kind::Choice(words) => {
            if words.contains(&text) {
                return Ok(Value::from(text));
            }
            let help = match nearest(text, words.iter().copied()) {
                Some(near) => format!("did you mean {near:?}?"),
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
        Kind::Object | Kind::List { .. } | Kind::Flag | Kind::Number { .. } => None,
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
        return Some("the path holds a NUL character".to_owned());
    }
    (text.len() > MAX_FILE_PATH_BYTES).then(|| format!("the path has {} bytes", text.len()))
}

fn address_problem(text: &str, loopback: bool) -> Option<String> {
    match text.parse::<SocketAddr>() {
        Err(_) => Some("not an IP address and port".to_owned()),
        Ok(address) if address.port() == 0 => Some("port 0 names no port".to_owned()),
        // The announcement address takes orders from whoever reaches it, without a certificate.
        Ok(address) if loopback && !address.ip().is_loopback() => {
            Some(format!("{address} is reachable from other hosts"))
        }
        Ok(_) => None,
    }
}

fn word(kind: Kind) -> &'static str {
    match kind {
        Kind::Object => "an object",
        Kind::List { .. } => "a list",
        Kind::Flag => "true or false",
        Kind::Number { .. } => "a number",
        _ => "a string",
    }
}

fn found(node: &Node<'_>) -> &'static str {
    match node {
        Node::StringLit(_) => "a string",
        Node::NumberLit(_) => "a number",
        Node::BooleanLit(_) => "a flag",
        Node::Object(_) => "an object",
        Node::Array(_) => "a list",
        Node::NullKeyword(_) => "null",
    }
}
