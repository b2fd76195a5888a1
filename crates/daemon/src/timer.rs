//! Timer service that parts subscribe to.
