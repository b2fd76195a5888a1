//! Scenario language of the golden scripts.
