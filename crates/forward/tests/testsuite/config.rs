//! Validation of configurations, and matching of requests to routes.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::config::{
    Account, Bounds, ConfigDraft, ForwardConfig, RouteDraft, RouteKind, Service, ShareDraft,
};
use googletest::prelude::*;

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        max_connections: 10,
        engine: None,
        warm_up_per_s: 0.0,
    }
}

/// Index of the route that a request matches.
fn found_index(config: &ForwardConfig, host: &str, path: &str) -> Option<usize> {
    let found = config.route(host, path)?;
    config
        .routes()
        .iter()
        .position(|route| Arc::ptr_eq(route, found))
}

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> RouteDraft {
    RouteDraft {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target: None,
        gap: None,
        priority: 0,
        max_attempts: 1,
        public: true,
        services: services
            .iter()
            .map(|(service, weight)| ShareDraft {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
    }
}

fn draft(routes: Vec<RouteDraft>) -> ConfigDraft {
    ConfigDraft {
        number: 1,
        routes,
        services: vec![service("desk"), service("spec")],
        accounts: Vec::new(),
        bounds: Bounds::default(),
        units_per_s: None,
    }
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|k| (*k).to_owned()).collect(),
        priority: None,
    }
}

#[googletest::test]
fn every_problem_is_reported_with_its_place() {
    let mut draft = draft(vec![
        route("a.example", "/x/", &[("desk", 1)]),
        route("A.example", "/x/", &[("desk", 1)]),
        route("a.example", "/y/", &[("nobody", 1)]),
        route("a.example", "/z/", &[("desk", 0), ("spec", 0)]),
        route("a.example", "no-slash", &[("desk", 1)]),
    ]);
    draft.routes[0].timeout = Duration::ZERO;
    draft.accounts = vec![account("one", &["k", "k"]), account("two", &["k"])];
    let problems = ForwardConfig::try_from(draft).unwrap_err();
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    accounts[1]: has a key of accounts[0]
    routes[0]: has a timeout of 0
    routes[1]: has the host and prefix of routes[0]
    routes[2]: names the unknown service "nobody"
    routes[3]: has weights that add up to 0
    routes[4]: has the prefix "no-slash", which does not begin and end with a slash
    "#);
}

#[googletest::test]
fn the_longest_prefix_of_the_host_wins() {
    let config = ForwardConfig::try_from(draft(vec![
        route("a.example", "/", &[("desk", 1)]),
        route("a.example", "/x/", &[("desk", 1)]),
        route("a.example", "/x/y/", &[("desk", 1)]),
        route("b.example", "/x/", &[("spec", 1)]),
    ]))
    .unwrap();
    let found = |host: &str, path: &str| found_index(&config, host, path);
    expect_that!(found("a.example", "/x/y/z"), some(eq(2)));
    expect_that!(found("A.Example", "/x/yy"), some(eq(1)));
    expect_that!(
        found("a.example", "/x"),
        some(eq(0)),
        "a prefix ends with its slash"
    );
    expect_that!(found("b.example", "/y/"), none());
    expect_that!(found("c.example", "/x/"), none());
}

#[googletest::test]
fn each_of_ten_thousand_routes_is_found() {
    let routes = (0..10_000).map(|n| route("a.example", &format!("/p{n}/"), &[("desk", 1)]));
    let config = ForwardConfig::try_from(draft(routes.collect())).unwrap();
    for n in (0..10_000).step_by(97) {
        let found = found_index(&config, "a.example", &format!("/p{n}/rest"));
        expect_that!(found, some(eq(n)));
    }
}

#[googletest::test]
fn a_route_is_split_by_its_weights() {
    let config = ForwardConfig::try_from(draft(vec![route(
        "a.example",
        "/",
        &[("desk", 9), ("spec", 1)],
    )]))
    .unwrap();
    let route = &config.routes()[0];
    let to_spec = (0..1000).filter(|n| route.draw(f64::from(*n) / 1000.0) == 1);
    expect_that!(to_spec.count(), eq(100));
    expect_that!(route.draw(1.0), eq(1));
}

#[googletest::test]
fn a_key_identifies_its_account() {
    let mut draft = draft(vec![]);
    draft.accounts = vec![account("one", &["k1", "k2"]), account("two", &["k3"])];
    let config = ForwardConfig::try_from(draft).unwrap();
    let name = |key: &str| config.account(key).map(|a| Arc::clone(&a.name));
    expect_that!(name("k2"), some(eq(&Arc::from("one"))));
    expect_that!(name("k4"), none());
}

/// Routes without a target, with a target of zero, or without streams do not lower the shortest
/// pause: a limit of zero refuses everything.
#[googletest::test]
fn the_shortest_pause_comes_from_streams_with_a_target() {
    let gap = |ms| Some(Duration::from_millis(ms));
    let stream = |prefix, gap| RouteDraft {
        kind: RouteKind::Streaming { resumable: true },
        gap,
        ..route("a.example", prefix, &[("spec", 1)])
    };
    let calls = RouteDraft {
        gap: gap(5),
        ..route("a.example", "/calls/", &[("spec", 1)])
    };
    let routes = vec![
        stream("/long/", gap(400)),
        stream("/short/", gap(300)),
        stream("/zero/", gap(0)),
        stream("/none/", None),
        calls,
    ];
    let config = ForwardConfig::try_from(draft(routes)).unwrap();
    let services = config.service_config();
    expect_that!(services.shortest_gap(1), eq(gap(300)));
    expect_that!(services.shortest_gap(0), none());
}
