//! The manifest: the configuration of the whole fleet.

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

use crate::schema::{Document, MANIFEST_KEYS, parse_and_validate};
use crate::{Digest, Finding, Findings};

/// Longest accepted text, in bytes. 20,000 accounts take under 6 MB. The syntax tree takes up to 16
/// times the size of the text, for a text of empty lists.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Largest canonical body, in bytes, that the replicated log accepts. 20,000 accounts with names of
/// 13 letters take 3.9 MB.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// A configuration of the whole fleet; `docs/SETTINGS.md` describes every value.
///
/// The lists are sorted by name, so that files which differ only in the order of elements have the
/// same digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Number of the manifest; each applied manifest has a higher number than the one before.
    pub number: u64,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Classes of accounts.
    pub classes: Vec<Class>,
    /// Models served by engines.
    pub models: Vec<Model>,
    /// Limits of the store of model weights.
    pub weight_store: WeightStore,
    /// Plain services.
    pub services: Vec<Service>,
    /// Settings of the ledger of calls that may not be repeated.
    pub ledger: Ledger,
}

/// An error from decoding a canonical body.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[display("the manifest body has {len} bytes, more than {MAX_BODY_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Length of the body, in bytes.
        len: usize,
    },
    /// The body is not a manifest.
    #[display("invalid manifest body")]
    Json(serde_json::Error),
}

impl Manifest {
    /// Parses and checks the manifest in `text`; findings name it as `file`.
    ///
    /// # Errors
    /// Returns every [`Finding`](crate::Finding) of the text, ordered by position.
    ///
    /// ```
    /// use coltsfootnotch_manifest::Manifest;
    /// let manifest = Manifest::parse("m.jsonc", "{ \"number\": 1, \"accounts\": [] }")?;
    /// assert_eq!(manifest.ledger.keep_hours, 72);
    /// # Ok::<(), coltsfootnotch_manifest::Findings>(())
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut document = parse_and_validate(file, text, MAX_TEXT_BYTES, MANIFEST_KEYS);
        check_names(&mut document);
        let mut manifest: Self = document.finish()?;
        manifest.sort();
        let len = manifest.to_body().len();
        if len > MAX_BODY_BYTES {
            return Err(too_large_body(file, len));
        }
        Ok(manifest)
    }

    /// Encodes the manifest in its canonical form: equal manifests have equal bytes.
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
        serde_json::to_vec(&sorted).expect("a manifest has only string keys")
    }

    /// Decodes a manifest from its canonical form.
    ///
    /// # Errors
    /// Returns a [`BodyError`] when the body is too large or not a manifest.
    pub fn from_body(body: &[u8]) -> Result<Self, BodyError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge { len: body.len() });
        }
        let mut manifest: Self = serde_json::from_slice(body)?;
        manifest.sort();
        Ok(manifest)
    }

    /// The digest of the canonical form.
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

fn too_large_body(file: &str, len: usize) -> Findings {
    let mut findings = Findings::new(file);
    findings.add(Finding {
        line: 1,
        column: 1,
        message: format!("the manifest has {len} bytes with its defaults filled in"),
        help: Some(format!("at most {MAX_BODY_BYTES} are accepted")),
    });
    findings
}

fn check_names(document: &mut Document<'_>) {
    document.check_unique("accounts[].name", "account");
    // A key shared by two accounts does not identify the account to charge.
    document.check_unique("accounts[].key_hashes[]", "key hash");
    document.check_unique("classes[].name", "class");
    document.check_unique("models[].name", "model");
    document.check_unique("services[].name", "service");
    document.check_unique("services[].prefix", "prefix");
    document.check_references("accounts[].class", "classes[].name", "class");
    check_pools(document);
    model::check_models(document);
    service::check_services(document);
}

/// Checks that no model and service share a name, since both name a pool.
fn check_pools(document: &mut Document<'_>) {
    let models = document.strings_at("models[].name");
    for (path, name) in document.strings_at("services[].name") {
        if models.iter().any(|(_, model)| *model == name) {
            let help = "models and services share one namespace; rename one of them".to_owned();
            document.report(
                &path,
                format!("{name:?} names both a model and a service"),
                Some(help),
            );
        }
    }
}
