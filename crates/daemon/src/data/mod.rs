//! Data path: ingress, relay, owner, requests and feeds.
