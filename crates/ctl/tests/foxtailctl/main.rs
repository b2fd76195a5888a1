//! Tests that run the binary as an operator does.

mod check;
mod ctl;
mod fake_admin;
mod fake_service;
mod fleet;
mod reports;
mod request;
mod usage;
