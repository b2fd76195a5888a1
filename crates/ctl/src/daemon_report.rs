//! What one daemon answered.

use foxtailhinge_config::report::Status;
use serde::Serialize;
use std::net::SocketAddr;

/// Answer of one daemon, or why there is none.
#[derive(Serialize)]
pub(crate) struct DaemonReport {
    pub(crate) admin: SocketAddr,
    pub(crate) status: Option<Status>,
    pub(crate) error: Option<String>,
}
