//! Audit trail of changes.
