//! The real binary, as an operator runs it.

mod check;
mod ctl;
mod fake_admin;
mod fake_service;
mod fleet;
mod reports;
mod request;
mod usage;
