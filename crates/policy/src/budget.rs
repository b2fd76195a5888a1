//! Retry budget of a service.
