//! The manifest: what the whole fleet is told.

mod account;
mod class;
mod model;
mod service;

pub use account::{Account, AccountLimits};
pub use class::Class;
pub use model::{Adapter, Model, Targets, TokenWeights, Version, WeightStore};
pub use service::{Call, Ledger, Method, Reread, Service};

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::schema::{MANIFEST_KEYS, Tree, read};
use crate::{Digest, Finding, Findings};

/// Longest accepted text. 20,000 accounts, 3.5 times the size designed for, take under 6 MB; the syntax
/// tree of the worst text, empty lists alone, takes 16 times the text.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Largest canonical body, in bytes; the replicated log takes no larger one. 20,000 accounts with names
/// of 13 letters take 3.9 MB.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// One configuration of the whole fleet; every value is explained in `docs/SETTINGS.md`.
///
/// The lists are kept in the order of their names, so that two files which differ only in their order
/// have the same digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Number of the manifest; a later one has a higher number.
    pub number: u64,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Classes of accounts.
    pub classes: Vec<Class>,
    /// Models served by engines.
    pub models: Vec<Model>,
    /// What the store of model weights can give.
    pub weight_store: WeightStore,
    /// Plain services.
    pub services: Vec<Service>,
    /// Record of calls that may not be repeated.
    pub ledger: Ledger,
}

/// Why bytes are not the canonical body of a manifest.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body is larger than the accepted 4 MiB.
    #[display("a manifest body has {len} bytes, more than {MAX_BODY_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Length found, in bytes.
        len: usize,
    },
    /// The body is not a manifest.
    #[display("a manifest body cannot be read")]
    Json(serde_json::Error),
}

impl Manifest {
    /// Reads the manifest in `text`; `file` names it in findings.
    ///
    /// # Errors
    /// Returns every [`Finding`](crate::Finding) of the text, in the order of their places.
    ///
    /// ```
    /// use coltsfootnotch_manifest::Manifest;
    /// let manifest = Manifest::parse("m.jsonc", "{ \"number\": 1, \"accounts\": [] }")?;
    /// assert_eq!(manifest.ledger.keep_hours, 72);
    /// # Ok::<(), coltsfootnotch_manifest::Findings>(())
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut tree = read(file, text, MAX_TEXT_BYTES, MANIFEST_KEYS);
        check(&mut tree);
        let mut manifest: Self = tree.finish()?;
        manifest.sort();
        let len = manifest.to_body().len();
        if len > MAX_BODY_BYTES {
            return Err(too_large(file, len));
        }
        Ok(manifest)
    }

    /// The canonical bytes: the same manifest always gives the same bytes.
    ///
    /// ```
    /// use coltsfootnotch_manifest::Manifest;
    /// let manifest = Manifest::parse("m.jsonc", "{ \"number\": 1, \"accounts\": [] }")?;
    /// assert_eq!(Manifest::from_body(&manifest.to_body()).unwrap(), manifest);
    /// # Ok::<(), coltsfootnotch_manifest::Findings>(())
    /// ```
    #[must_use]
    pub fn to_body(&self) -> Vec<u8> {
        let mut sorted = self.clone();
        sorted.sort();
        serde_json::to_vec(&sorted).expect("a manifest has no map with keys other than strings")
    }

    /// Reads canonical bytes.
    ///
    /// # Errors
    /// Returns a [`BodyError`] when the bytes are too many or not a manifest.
    pub fn from_body(body: &[u8]) -> Result<Self, BodyError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge { len: body.len() });
        }
        let mut manifest: Self = serde_json::from_slice(body)?;
        manifest.sort();
        Ok(manifest)
    }

    /// The digest of the canonical bytes.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_body())
    }

    pub(crate) fn sort(&mut self) {
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

fn too_large(file: &str, len: usize) -> Findings {
    let mut findings = Findings::new(file);
    findings.add(Finding {
        line: 1,
        column: 1,
        message: format!("the manifest takes {len} bytes with its defaults written out"),
        help: Some(format!("at most {MAX_BODY_BYTES} are accepted")),
    });
    findings
}

fn check(tree: &mut Tree<'_>) {
    tree.check_unique("accounts[].name", "account");
    // Two accounts with one key: a caller would be served and billed as either of them.
    tree.check_unique("accounts[].key_hashes[]", "key hash");
    tree.check_unique("classes[].name", "class");
    tree.check_unique("models[].name", "model");
    tree.check_unique("services[].name", "service");
    tree.check_unique("services[].prefix", "prefix");
    tree.check_references("accounts[].class", "classes[].name", "class");
    check_pools(tree);
    model::check_models(tree);
    service::check_services(tree);
}

/// A model and a service of one name would be one pool with two kinds of upstreams.
fn check_pools(tree: &mut Tree<'_>) {
    let models = tree.texts("models[].name");
    for (path, name) in tree.texts("services[].name") {
        if models.iter().any(|(_, model)| *model == name) {
            let help = "models and services share one space of names; rename one".to_owned();
            tree.add(
                &path,
                format!("{name:?} is a model and a service"),
                Some(help),
            );
        }
    }
}
