//! Exact limits of one upstream: slots, connections and the queue before them.
