//! The foxtailhinge daemon.
