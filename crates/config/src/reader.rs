//! Strict reading of JSON with comments.
