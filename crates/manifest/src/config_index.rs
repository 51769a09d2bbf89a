//! Indexes over the configuration in force, built once per change and read by every request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName};

use crate::{Account, Call, Digest, Manifest, Method, Model, Service};

/// A manifest and the indexes over its lists.
///
/// A request holds an [`Arc`] of the index that was in force when it arrived, so a change during
/// the request cannot mix two configurations.
#[derive(Debug)]
pub struct ConfigIndex {
    manifest: Arc<Manifest>,
    digest: Digest,
    account_by_key_hash: HashMap<[u8; 32], usize>,
    account_by_name: HashMap<AccountName, usize>,
    model_by_name: HashMap<PoolName, usize>,
    service_by_name: HashMap<PoolName, usize>,
    /// Services by the length of their prefix, longest first, so that `/a/b` matches before `/a`.
    services_by_prefix_len: Vec<usize>,
}

/// The result of matching the method and path of a request against the services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMatch<'m> {
    /// The path is under no service.
    NoService,
    /// The path is under a service that lists no matching call.
    NoCall(&'m Service),
    /// A listed call.
    Call {
        /// The service.
        service: &'m Service,
        /// The call.
        call: &'m Call,
    },
}

impl ConfigIndex {
    /// Builds the indexes of a manifest.
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
        let key_hashes = |(index, account): (usize, &Account)| {
            account
                .key_hashes
                .iter()
                .map(move |hash| (hash.0, index))
                .collect::<Vec<_>>()
        };
        let models = manifest.models.iter().enumerate();
        let services = manifest.services.iter().enumerate();
        let mut services_by_prefix_len: Vec<usize> = (0..manifest.services.len()).collect();
        services_by_prefix_len.sort_by_key(|index| {
            std::cmp::Reverse(manifest.services[*index].prefix.as_str().len())
        });
        Self {
            account_by_key_hash: accounts().flat_map(key_hashes).collect(),
            account_by_name: accounts()
                .map(|(index, account)| (account.name.clone(), index))
                .collect(),
            model_by_name: models
                .map(|(index, model)| (model.name.clone(), index))
                .collect(),
            service_by_name: services
                .map(|(index, service)| (service.name.clone(), index))
                .collect(),
            services_by_prefix_len,
            digest,
            manifest,
        }
    }

    /// The manifest.
    #[must_use]
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// The number of the manifest.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.manifest.number
    }

    /// The digest of the manifest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The account whose bearer key has this SHA-256 hash.
    #[must_use]
    pub fn account_of_key(&self, hash: &[u8; 32]) -> Option<&Account> {
        self.account_by_key_hash
            .get(hash)
            .map(|index| &self.manifest.accounts[*index])
    }

    /// The account of this name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.account_by_name
            .get(name)
            .map(|index| &self.manifest.accounts[*index])
    }

    /// The model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.model_by_name
            .get(name)
            .map(|index| &self.manifest.models[*index])
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_by_name
            .get(name)
            .map(|index| &self.manifest.services[*index])
    }

    /// Matches a method and a path against the services; a query in the path is ignored.
    #[must_use]
    pub fn service_call(&self, method: &str, path: &str) -> CallMatch<'_> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let strip_prefix = |index: &usize| {
            let service = &self.manifest.services[*index];
            service.path_within(path).map(|rest| (service, rest))
        };
        let Some((service, rest)) = self.services_by_prefix_len.iter().find_map(strip_prefix)
        else {
            return CallMatch::NoService;
        };
        match find_call(service, Method::parse(method), rest) {
            Some(call) => CallMatch::Call { service, call },
            None => CallMatch::NoCall(service),
        }
    }

    /// The deadline of a request of `account` in a pool: the shorter of the deadlines of the pool
    /// and of the account's class. `None` if there is no such pool.
    #[must_use]
    pub fn deadline(&self, account: &Account, pool: &str) -> Option<Duration> {
        let model_deadline = self.model(pool).map(Model::deadline);
        let pool_deadline = model_deadline.or_else(|| self.service(pool).map(Service::deadline))?;
        let is_own_class = |name: &&String| account.class.as_ref() == Some(*name);
        let class = self
            .manifest
            .classes
            .iter()
            .find(|class| is_own_class(&&class.name));
        Some(class.map_or(pool_deadline, |class| pool_deadline.min(class.deadline())))
    }
}

/// The listed call that matches. Of several, a call that may not be repeated is preferred: sending
/// it twice does harm, while not retrying a repeatable call does not.
fn find_call<'m>(service: &'m Service, method: Option<Method>, path: &str) -> Option<&'m Call> {
    let is_match = |call: &&Call| Some(call.method) == method && call.path.matches(path);
    let matching = service.calls.iter().filter(is_match);
    matching.min_by_key(|call| call.repeatable)
}
