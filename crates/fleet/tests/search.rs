//! The state-space search finds no violation in the view, and finds each injected fault.

use yarrowfront_fleet::search::{random_walk, search_exhaustively, InjectedFault, INJECTED_FAULTS};

/// No invariant is violated in all orders of transitions up to a small depth, and in random walks beyond it.
/// `yarrowfront-fleet search` goes deeper.
#[test]
fn invariants_hold() {
    for (nodes, depth) in [(2, 6), (3, 4)] {
        let stats = search_exhaustively(nodes, depth, InjectedFault::None)
            .unwrap_or_else(|violation| panic!("{violation:?}"));
        assert!(stats.states > 300, "{nodes}: {stats:?}");
    }
    for seed in 0..60 {
        let nodes = 2 + seed as usize % 4;
        random_walk(nodes, 2500, seed, InjectedFault::None)
            .unwrap_or_else(|violation| panic!("seed {seed}: {}", violation.description));
    }
}

/// Each injected fault violates an invariant in one of a few walks.
#[test]
fn injected_faults_are_found() {
    for fault in INJECTED_FAULTS {
        // A share grows only if two of five nodes are missing: with fewer nodes nothing but half shares is left to divide.
        let found = (0..60).find(|seed| random_walk(5, 6000, *seed, fault).is_err());
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
