//! Look-ups in the configuration in force, made once per change and read by every request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName};

use crate::{Account, Call, Digest, Manifest, Method, Model, Service};

/// A manifest with its look-ups.
///
/// A request pins the index it arrived under by its [`Arc`], so a change in the middle of a request
/// cannot mix two configurations.
#[derive(Debug)]
pub struct ConfigIndex {
    manifest: Arc<Manifest>,
    digest: Digest,
    by_key: HashMap<[u8; 32], usize>,
    by_account: HashMap<AccountName, usize>,
    models: HashMap<PoolName, usize>,
    services: HashMap<PoolName, usize>,
    /// Services by the length of their prefix, longest first, so that `/a/b` goes before `/a`.
    by_prefix: Vec<usize>,
}

/// What a method and a path mean under a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMatch<'m> {
    /// The path is under no service.
    NoService,
    /// The path is under a service that lists no such call.
    NoCall(&'m Service),
    /// A listed call.
    Call {
        /// The service.
        service: &'m Service,
        /// The call; it says whether it may be repeated.
        call: &'m Call,
    },
}

impl ConfigIndex {
    /// Builds the look-ups of a manifest.
    ///
    /// ```
    /// use coltsfootnotch_manifest::{ConfigIndex, KeyHash, Manifest};
    /// let text = format!(
    ///     r#"{{ "number": 1, "accounts": [{{ "name": "floorline", "key_hashes": ["{}"] }}] }}"#,
    ///     KeyHash::of_key("secret"),
    /// );
    /// let config = ConfigIndex::new(Manifest::parse("m.jsonc", &text)?);
    /// let account = config.account_of_key(&KeyHash::of_key("secret").0);
    /// assert_eq!(account.unwrap().name.as_str(), "floorline");
    /// # Ok::<(), coltsfootnotch_manifest::Findings>(())
    /// ```
    #[must_use]
    pub fn new(manifest: impl Into<Arc<Manifest>>) -> Self {
        let manifest = manifest.into();
        let digest = manifest.digest();
        let accounts = || manifest.accounts.iter().enumerate();
        let keys = |(at, account): (usize, &Account)| {
            account
                .key_hashes
                .iter()
                .map(move |hash| (hash.0, at))
                .collect::<Vec<_>>()
        };
        let models = manifest.models.iter().enumerate();
        let services = manifest.services.iter().enumerate();
        let mut by_prefix: Vec<usize> = (0..manifest.services.len()).collect();
        by_prefix.sort_by_key(|at| std::cmp::Reverse(manifest.services[*at].prefix.as_str().len()));
        Self {
            by_key: accounts().flat_map(keys).collect(),
            by_account: accounts()
                .map(|(at, account)| (account.name.clone(), at))
                .collect(),
            models: models.map(|(at, model)| (model.name.clone(), at)).collect(),
            services: services
                .map(|(at, service)| (service.name.clone(), at))
                .collect(),
            by_prefix,
            digest,
            manifest,
        }
    }

    /// The manifest.
    #[must_use]
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Its number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.manifest.number
    }

    /// Its digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The account that owns the bearer key of this SHA-256.
    #[must_use]
    pub fn account_of_key(&self, hash: &[u8; 32]) -> Option<&Account> {
        self.by_key.get(hash).map(|at| &self.manifest.accounts[*at])
    }

    /// The account of this name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.by_account
            .get(name)
            .map(|at| &self.manifest.accounts[*at])
    }

    /// The model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.get(name).map(|at| &self.manifest.models[*at])
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|at| &self.manifest.services[*at])
    }

    /// What a method and a path mean; a query in the path is left out of account.
    #[must_use]
    pub fn service_call(&self, method: &str, path: &str) -> CallMatch<'_> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let within = |at: &usize| {
            let service = &self.manifest.services[*at];
            service.path_within(path).map(|rest| (service, rest))
        };
        let Some((service, rest)) = self.by_prefix.iter().find_map(within) else {
            return CallMatch::NoService;
        };
        match find_call(service, Method::parse(method), rest) {
            Some(call) => CallMatch::Call { service, call },
            None => CallMatch::NoCall(service),
        }
    }

    /// The time a request of `account` in a pool has: the shorter of the pool's and the class's.
    #[must_use]
    pub fn deadline(&self, account: &Account, pool: &str) -> Option<Duration> {
        let of_model = self.model(pool).map(Model::deadline);
        let of_pool = of_model.or_else(|| self.service(pool).map(Service::deadline))?;
        let is_class = |name: &&String| account.class.as_ref() == Some(*name);
        let class = self
            .manifest
            .classes
            .iter()
            .find(|class| is_class(&&class.name));
        Some(class.map_or(of_pool, |class| of_pool.min(class.deadline())))
    }
}

/// The call that fits; of several, one that may not be repeated, since sending that twice by mistake
/// does harm and sending the other once does not.
fn find_call<'m>(service: &'m Service, method: Option<Method>, path: &str) -> Option<&'m Call> {
    let fits = |call: &&Call| Some(call.method) == method && call.path.matches(path);
    let fitting = service.calls.iter().filter(fits);
    fitting.min_by_key(|call| call.repeatable)
}
