//! Scenario language of the fleet's tests.
