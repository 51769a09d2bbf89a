//! The settings and manifests of both example deployments are valid and have the expected sizes.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use coltsfootnotch_manifest::{CallMatch, ConfigIndex, KeyHash, Manifest, Settings};
use coltsfootnotch_types::Role;
use googletest::prelude::*;

fn folder(fleet: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(fleet)
}

fn manifest(fleet: &str) -> Manifest {
    let path = folder(fleet).join("manifest.jsonc");
    let text = fs::read_to_string(&path).expect("the manifest is committed");
    Manifest::parse(&path.to_string_lossy(), &text).unwrap_or_else(|findings| panic!("{findings}"))
}

fn settings(fleet: &str) -> Vec<Settings> {
    let entries = fs::read_dir(folder(fleet).join("hosts")).expect("the settings are committed");
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("a settings file is readable");
        Settings::parse(&path.to_string_lossy(), &text)
            .unwrap_or_else(|findings| panic!("{findings}"))
    };
    entries
        .map(|entry| read(entry.expect("a folder entry").path()))
        .collect()
}

fn count(settings: &[Settings], role: Role) -> usize {
    settings.iter().filter(|host| host.role == role).count()
}

#[gtest]
fn every_host_has_its_own_addresses() {
    for (fleet, upstream_hosts) in [("kelani", 13), ("karoo", 23)] {
        let hosts = settings(fleet);
        expect_that!(count(&hosts, Role::Control), eq(3));
        expect_that!(count(&hosts, Role::Entry), eq(3));
        expect_that!(count(&hosts, Role::Sidecar), eq(upstream_hosts));
        let listen = hosts.iter().map(|host| &host.listen);
        let addresses: Vec<_> = listen
            .flat_map(|l| [Some(l.fleet), l.callers, l.announce, Some(l.admin)])
            .flatten()
            .collect();
        let distinct: BTreeSet<_> = addresses.iter().collect();
        expect_that!(distinct.len(), eq(addresses.len()));
        let control_hosts = &hosts[0].control;
        for host in hosts.iter().filter(|host| host.role == Role::Control) {
            let entry = control_hosts
                .iter()
                .find(|control| control.host == host.host);
            expect_that!(
                entry.map(|control| control.address),
                some(eq(host.listen.fleet))
            );
        }
    }
}

#[gtest]
fn relative_paths_are_resolved_against_the_folder_of_the_file() {
    let hosts = settings("kelani");
    let keys = folder("kelani").join("hosts/../keys/ca.pem");
    expect_that!(hosts.iter().all(|host| host.keys.ca == keys), eq(true));
}

#[gtest]
fn the_manifests_have_accounts_models_and_services() {
    let fleets = [
        (
            "kelani",
            "spec-llm",
            10,
            "member-desk",
            "ceylon-floor-contractors",
        ),
        (
            "karoo",
            "menu-writer",
            20,
            "order-desk",
            "highveld-grill-chain",
        ),
    ];
    for (fleet, model, replicas, service, account) in fleets {
        let config = ConfigIndex::new(manifest(fleet));
        expect_that!(config.manifest().accounts.len(), eq(16));
        expect_that!(
            config.model(model).expect("the model").versions[0].replicas,
            eq(replicas)
        );
        expect_that!(
            config.service(service).expect("the service").replicas,
            eq(3)
        );
        let hash = KeyHash::of_key(&format!("{fleet}-demo-{account}"));
        let owner = config
            .account_of_key(&hash.0)
            .expect("the demo key has an account");
        expect_that!(owner.name.as_str(), eq(account));
        for (method, path, repeatable) in [("POST", "/orders", false), ("GET", "/orders/7", true)] {
            let found = config.service_call(method, &format!("/{service}{path}?a=b"));
            let CallMatch::Call { call, .. } = found else {
                panic!("{found:?}")
            };
            expect_that!(call.repeatable, eq(repeatable));
        }
        expect_that!(
            config.service_call("DELETE", "/orders/7"),
            eq(CallMatch::NoService)
        );
    }
}
