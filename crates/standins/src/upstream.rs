//! An upstream with slots, cold start, drain and feeds.
