//! Fault schedules of seeds. A seed that broke a promise must draw the same faults later, to reproduce the violation.

use foxtailhinge_soak::{
    Soak,
    SoakSpec, //
};
use foxtailhinge_standins::fleet::{
    Deployment,
    Program, //
};

fn spec() -> SoakSpec {
    let program = Program {
        path: "foxtailhinge".into(),
        args: Vec::new(),
    };
    SoakSpec::new(program, Deployment::Kalahari)
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    insta::assert_snapshot!(Soak::list(&spec(), 9).join("\n"));
}

#[test]
fn faults_end_in_time_and_leave_upstreams_to_serve() {
    for seed in 0..500 {
        for line in Soak::list(&spec(), seed) {
            let end = line.split_whitespace().nth(3).and_then(|s| s.parse().ok());
            let end: f64 = end.unwrap_or_else(|| panic!("seed {seed}: {line}"));
            assert!(end <= 15.0, "seed {seed}: {line}");
            let odd = ["UpstreamSilent", "UpstreamDrained", "AddressReused"]
                .into_iter()
                .filter_map(|kind| line.split_once(&format!("{kind}(")))
                .filter_map(|(_, rest)| rest.split_once(')'))
                .filter_map(|(index, _)| index.parse::<usize>().ok())
                .any(|index| index % 2 == 1);
            assert!(!odd, "seed {seed} leaves too few upstreams: {line}");
        }
    }
}

/// Guards against seeds whose other faults change with overloads, so that a violation could not be traced to one of both,
/// and against a kind of overload that no seed draws.
#[test]
fn overloads_are_added_to_the_faults_of_a_seed() {
    let mut with_overloads = spec();
    with_overloads.overloads = true;
    for (seed, expected) in [
        (107, "LinksCut Overloaded"),
        (108, "Uneven"),
        (109, "Overloaded"),
    ] {
        let before = Soak::list(&spec(), seed);
        let with = Soak::list(&with_overloads, seed).into_iter();
        let added: Vec<_> = with.filter(|line| !before.contains(line)).collect();
        let all = Soak::list(&with_overloads, seed).len();
        assert_eq!(all, before.len() + added.len(), "seed {seed}: {added:?}");
        let first = added.join(" ");
        let kinds = expected.split(' ').all(|kind| first.contains(kind));
        assert!(kinds, "seed {seed}: {added:?}");
    }
}
