//! Messages between daemons.
