//! Tests of look-ups in the active configuration.

use std::{collections::BTreeMap, sync::Arc};

use cactusroad_core::site::{Builder, Kind, Route, Site, Target, Workspace};

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
