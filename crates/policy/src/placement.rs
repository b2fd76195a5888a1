//! Random selection of candidate upstreams for a new flow.
//!
//! The ingress draws a few distinct upstreams, weighted by capacity. The owners of the candidates
//! then decide, by exact counts, which of them accepts the flow.

use crate::rendezvous::mix;
use rand::Rng;
use smallvec::SmallVec;

/// Weights are stored as integers in units of 1 / `WEIGHT_UNITS`, so that sums are exact.
const WEIGHT_UNITS: f64 = 65_536.0;

/// Largest weight; larger ones are clamped to it.
const MAX_WEIGHT: f64 = 1e9;

/// Weighted random sampling without replacement over the upstreams of a service.
///
/// Based on a Fenwick tree of integer weights: a draw and a change of weight each take O(log n).
#[derive(Clone, Debug, Default)]
pub struct Placement {
    weights: Vec<u64>,
    /// Fenwick tree: entry `i` (from 1) holds the sum of the `i & -i` weights that end at `i`.
    sums: Vec<u64>,
    total: u64,
}

/// An upstream that was already drawn, as an interval of the cumulative weights.
#[derive(Clone, Copy)]
struct Drawn {
    start: u64,
    weight: u64,
}

impl Placement {
    /// Builds the sampler from the weights, in the order of the caller's list of upstreams.
    ///
    /// A weight is a capacity in any unit. Upstreams with a zero, negative or non-finite weight are
    /// not eligible.
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Self {
        let weights: Vec<u64> = weights.into_iter().map(units).collect();
        let total = weights.iter().sum();
        let sums = fenwick_tree(&weights);
        Self {
            weights,
            sums,
            total,
        }
    }

    /// Returns the number of upstreams, eligible or not.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Whether no upstream is eligible.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Changes the weight of one upstream; ignores an index out of range.
    pub fn set_weight(&mut self, index: usize, weight: f64) {
        let Some(old) = self.weights.get_mut(index) else {
            return;
        };
        let new = units(weight);
        let previous = std::mem::replace(old, new);
        self.total = self.total - previous + new;
        let mut i = index + 1;
        while i <= self.weights.len() {
            self.sums[i] = self.sums[i] + new - previous;
            i += i & i.wrapping_neg();
        }
    }

    /// Draws up to `n` distinct upstreams by weight, without replacement.
    ///
    /// Returns fewer when fewer are eligible.
    pub fn draw(&self, n: usize, rng: &mut impl Rng) -> SmallVec<[usize; 4]> {
        self.draw_at(rng.random(), n, rng)
    }

    /// Like [`Placement::draw`], but selects the first upstream by `point`, a position in `[0, 1)`
    /// of the cumulative weights.
    ///
    /// Points from a [`Sequence`] spread the first upstreams more evenly than random ones.
    pub fn draw_at(&self, point: f64, n: usize, rng: &mut impl Rng) -> SmallVec<[usize; 4]> {
        let mut found = SmallVec::new();
        let mut drawn: SmallVec<[Drawn; 4]> = SmallVec::new();
        let mut left = self.total;
        while found.len() < n && left > 0 {
            let offset = if found.is_empty() {
                scale(point, left)
            } else {
                rng.random_range(0..left)
            };
            let (index, start) = self.find(skip_drawn(offset, &drawn));
            let weight = self.weights[index];
            let place = drawn.partition_point(|d| d.start < start);
            drawn.insert(place, Drawn { start, weight });
            found.push(index);
            left -= weight;
        }
        found
    }

    /// Selects up to `n` distinct upstreams for `key` by weighted rendezvous hashing, always the same
    /// ones. `name` returns the hash of an upstream's name.
    ///
    /// A change of one upstream's weight does not change the order of the others. Takes O(n log n)
    /// in the number of upstreams, where [`Placement::draw`] takes O(log n).
    pub fn rank(&self, key: u64, n: usize, name: impl Fn(usize) -> u64) -> SmallVec<[usize; 4]> {
        let weighted = self.weights.iter().enumerate();
        let eligible = weighted.filter(|(_, weight)| **weight > 0);
        let mut ranked: Vec<(f64, usize)> = eligible
            .map(|(index, weight)| (weighted_rank(mix(key ^ mix(name(index))), *weight), index))
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        ranked.iter().take(n).map(|(_, index)| *index).collect()
    }

    /// Returns the index whose interval of the cumulative weights contains `offset`, and the start of
    /// that interval.
    fn find(&self, offset: u64) -> (usize, u64) {
        let mut index = 0;
        let mut start = 0;
        let mut step = (self.weights.len() + 1).next_power_of_two();
        while step > 0 {
            let next = index + step;
            if next < self.sums.len() && start + self.sums[next] <= offset {
                index = next;
                start += self.sums[next];
            }
            step /= 2;
        }
        (index, start)
    }
}

/// Low-discrepancy sequence of points for the first draw: an additive recurrence with the golden
/// ratio.
///
/// Each ingress keeps one for each service. Among any k consecutive points, the number that falls to
/// an upstream differs from its share by O(log k); with random points, by O(sqrt k).
#[derive(Clone, Debug)]
pub struct Sequence {
    point: u64,
}

/// 2^64 divided by the golden ratio.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Sequence {
    /// Starts at a random point, so that the sequences of different daemons are independent.
    pub fn new(rng: &mut impl Rng) -> Self {
        Self {
            point: rng.random(),
        }
    }

    /// Returns the next point in `[0, 1)`.
    pub fn next_point(&mut self) -> f64 {
        self.point = self.point.wrapping_add(GOLDEN_STEP);
        (self.point >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Exponential variate of rate `weight`, computed from a hash. The probability of being the smallest
/// of several is proportional to the weight.
fn weighted_rank(hash: u64, weight: u64) -> f64 {
    let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / weight as f64
}

fn units(weight: f64) -> u64 {
    if !weight.is_finite() || weight <= 0.0 {
        return 0;
    }
    let units = (weight.min(MAX_WEIGHT) * WEIGHT_UNITS).round() as u64;
    units.max(1)
}

fn fenwick_tree(weights: &[u64]) -> Vec<u64> {
    let mut sums = vec![0; weights.len() + 1];
    for (i, weight) in weights.iter().enumerate() {
        sums[i + 1] += weight;
        let i = i + 1;
        let parent = i + (i & i.wrapping_neg());
        if parent < sums.len() {
            sums[parent] += sums[i];
        }
    }
    sums
}

fn scale(point: f64, total: u64) -> u64 {
    let offset = (point * total as f64) as u64;
    offset.min(total - 1)
}

/// Moves `offset` past the drawn intervals, which are sorted by start.
fn skip_drawn(offset: u64, drawn: &[Drawn]) -> u64 {
    let mut offset = offset;
    for d in drawn {
        if offset >= d.start {
            offset += d.weight;
        }
    }
    offset
}
