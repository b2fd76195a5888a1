//! Time to draw three candidates, by number of upstreams.

use criterion::{
    BenchmarkId,
    Criterion, //
};
use foxtailhinge_policy::placement::{
    Placement,
    Sequence, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::hint::black_box;

const CANDIDATES: usize = 3;

fn weights(upstreams: usize) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..upstreams)
        .map(|_| f64::from(rng.random_range(1..=8)))
        .collect()
}

/// Baseline: recomputes the cumulative weights for each candidate, without those already drawn.
fn scan(weights: &[f64], rng: &mut impl Rng) -> [usize; CANDIDATES] {
    let mut weights = weights.to_vec();
    [(); CANDIDATES].map(|()| {
        let total: f64 = weights.iter().sum();
        let mut offset = rng.random::<f64>() * total;
        let index = weights
            .iter()
            .position(|w| {
                offset -= w;
                offset < 0.0
            })
            .unwrap_or(0);
        weights[index] = 0.0;
        index
    })
}

fn draw(c: &mut Criterion) {
    let mut group = c.benchmark_group("draw of 3");
    for upstreams in [14, 343, 13_000] {
        let weights = weights(upstreams);
        let placement = Placement::new(weights.iter().copied());
        let mut rng = SmallRng::seed_from_u64(2);
        let mut sequence = Sequence::new(&mut rng);
        group.bench_function(BenchmarkId::new("tree", upstreams), |b| {
            b.iter(|| black_box(placement.draw(CANDIDATES, &mut rng)))
        });
        group.bench_function(BenchmarkId::new("tree, sequence", upstreams), |b| {
            b.iter(|| {
                let point = sequence.next_point();
                black_box(placement.draw_at(point, CANDIDATES, &mut rng))
            })
        });
        group.bench_function(BenchmarkId::new("scan (baseline)", upstreams), |b| {
            b.iter(|| black_box(scan(&weights, &mut rng)))
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    draw(&mut c);
    c.final_summary();
}
