//! Tests of look-ups in the active configuration.

use std::{collections::BTreeMap, sync::Arc};

use cactusroad_core::site::{Builder, Engine, Kind, Route, Service, Site, Target, Workspace};

fn site(routes: &[(&str, &str, &str)]) -> Site {
    let add = |builder: Builder, (name, host, prefix): &(&str, &str, &str)| {
        builder.route(Route::new(name, host, prefix, Kind::Once))
    };
    routes.iter().fold(Builder::new(1), add).build()
}

#[test]
fn route_longest_prefix() {
    let site = site(&[
        ("all", "a", "/"),
        ("shop", "a", "/shop/"),
        ("cart", "a", "/shop/cart/"),
        ("b", "b", "/x/"),
    ]);
    let cases = [
        ("a", "/", Some("all")),
        ("a", "/shop", Some("all")),
        ("a", "/shop/", Some("shop")),
        ("a", "/shop/cart", Some("shop")),
        ("a", "/shop/cart/", Some("cart")),
        ("a", "/shop/cart/1/2", Some("cart")),
        ("a", "/shopping/1", Some("all")),
        ("b", "/", None),
        ("b", "/x/y", Some("b")),
        ("c", "/", None),
        ("a", "", None),
        ("a", "no-slash", None),
    ];
    for (host, path, expected) in cases {
        let found = site.route(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn workspace_by_key() {
    let workspace = |name: &str| Workspace {
        name: name.into(),
        priority: None,
    };
    let site = Builder::new(1)
        .workspace(workspace("one"), &["k1".into(), "k3".into()])
        .workspace(workspace("two"), &["k2".into()])
        .build();
    for (key, expected) in [
        ("k1", Some("one")),
        ("k2", Some("two")),
        ("k3", Some("one")),
        ("k", None),
        ("", None),
    ] {
        assert_eq!(
            site.workspace(key).map(|workspace| &*workspace.name),
            expected,
            "{key}"
        );
    }
    assert!(!site.accepts_anonymous());
    assert!(Builder::new(1).build().accepts_anonymous());
    assert!(!Builder::new(1).require_keys().build().accepts_anonymous());
}

#[test]
fn target_by_weight() {
    let mut route = Route::new("r", "h", "/", Kind::Once);
    assert_eq!(route.target(0.5), None);
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    route.targets = vec![target("a", 90), target("none", 0), target("b", 10)];
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for step in 0..1_000 {
        let service = route.target(f64::from(step) / 1_000.0).unwrap();
        *counts.entry(Arc::clone(service)).or_default() += 1;
    }
    assert_eq!(
        counts.into_iter().collect::<Vec<_>>(),
        [("a".into(), 900), ("b".into(), 100)]
    );
}

fn stream(name: &str, priority: u8, target_latency_ms: u64) -> Route {
    let mut route = Route::new(name, "a", &format!("/{name}/"), Kind::Stream);
    route.priority = priority;
    route.target_latency_ms = target_latency_ms;
    route.targets = vec![Target {
        service: "engines".into(),
        weight: 1,
    }];
    route
}

fn engines(routes: Vec<Route>, classes: &[Option<u8>]) -> Site {
    let service = Service {
        name: "engines".into(),
        health_path: "/".into(),
        max_connections: 10,
        cold_per_s: 0.0,
        cold_s: 0.0,
        engine: Some(Engine {
            slots: 8,
            memory_tokens: 30_000,
            migrations: false,
            backups: false,
        }),
        scaling: None,
    };
    let builder = routes.into_iter().fold(Builder::new(1), Builder::route);
    let owners = classes.iter().enumerate();
    let builder = owners.fold(builder, |builder, (number, class)| {
        let workspace = Workspace {
            name: format!("w-{number}").into(),
            priority: *class,
        };
        builder.workspace(workspace, &[format!("k-{number}").into()])
    });
    builder.service(service).build()
}

/// Guards against delays on services whose configuration does not state that some requests can
/// wait.
#[test]
fn deferral_only_where_stated() {
    let urgent = || stream("urgent", 0, 1_500);
    let active = engines(vec![urgent(), stream("long", 2, 4_000)], &[]);
    let deferral = active.deferral("engines").expect("it is active");
    assert!(deferral.is_deferrable(&stream("long", 2, 4_000)));
    assert!(!deferral.is_deferrable(&urgent()));
    assert!(!deferral.is_deferrable(&stream("middle", 1, 2_999)));
    let once = Route {
        kind: Kind::Once,
        ..stream("once", 2, 4_000)
    };
    assert!(!deferral.is_deferrable(&once));
    let unweighted = Route {
        targets: vec![Target {
            service: "engines".into(),
            weight: 0,
        }],
        ..stream("long", 2, 4_000)
    };
    let inactive = [
        vec![urgent()],
        vec![urgent(), stream("long", 0, 4_000)],
        vec![urgent(), stream("long", 2, 2_999)],
        vec![stream("urgent", 0, 4_000), stream("long", 2, 1_500)],
        vec![urgent(), once],
        vec![urgent(), unweighted],
    ];
    for routes in inactive {
        let names: Vec<_> = routes.iter().map(|route| Arc::clone(&route.name)).collect();
        let site = engines(routes, &[Some(0), None]);
        assert_eq!(site.deferral("engines"), None, "{names:?}");
    }
}

/// Guards against ranks that put a less urgent request of a workspace before a more urgent one,
/// or a workspace before one of a higher class.
#[test]
fn rank_by_workspace_then_route() {
    let routes = || vec![stream("urgent", 0, 1_500), stream("long", 2, 4_000)];
    let site = engines(routes(), &[Some(0), Some(1)]);
    let deferral = site.deferral("engines").expect("it is active");
    let pairs = [(0, 0), (0, 2), (1, 0), (1, 2)];
    let ranks = pairs.map(|(class, route)| deferral.rank(Some(class), route));
    assert_eq!(ranks, [0, 1, 2, 3]);
    // Workspaces without a class have the route's.
    let site = engines(routes(), &[None]);
    let deferral = site.deferral("engines").expect("it is active");
    assert_eq!([0, 2].map(|route| deferral.rank(None, route)), [0, 1]);
    let classes: Vec<Option<u8>> = (0..10).map(Some).collect();
    let site = engines(routes(), &classes);
    let deferral = site.deferral("engines").expect("it is active");
    assert_eq!(deferral.rank(Some(9), 2), 9);
    assert!(deferral.rank(Some(1), 0) < deferral.rank(Some(1), 2));
}
