//! Reports of a daemon to its operators.
