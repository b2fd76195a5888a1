//! Draw of candidate upstreams for a new flow.
