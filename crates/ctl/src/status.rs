//! `foxtailctl status`.

use crate::{
    admin::{
        AdminClient,
        AdminError, //
    },
    daemon_report::{
        DaemonReport,
        Report, //
    },
    daemon_view,
    error::Outcome,
    fleet_view, //
};
use foxtailhinge_config::report::Status;
use std::net::SocketAddr;

/// Prints the status of daemons.
pub(crate) fn run(
    admins: &[SocketAddr],
    service: Option<&str>,
    json: bool,
) -> anyhow::Result<Outcome> {
    if let [admin] = admins {
        let status = AdminClient::new(*admin).status()?;
        let report = Report {
            daemons: vec![report(*admin, Ok(status), service)],
        };
        return report.print(json, print_text);
    }
    let daemons = admins.iter().map(|admin| {
        let status = AdminClient::new(*admin).status();
        report(*admin, status, service)
    });
    let report = Report {
        daemons: daemons.collect(),
    };
    report.print(json, print_text)
}

fn report(
    admin: SocketAddr,
    status: Result<Status, AdminError>,
    service: Option<&str>,
) -> DaemonReport<Status> {
    DaemonReport::new(admin, status, |status| {
        if let Some(service) = service {
            retain_service(status, service);
        }
    })
}

fn retain_service(status: &mut Status, service: &str) {
    status.zones.retain(|z| &*z.service == service);
    status.upstreams.retain(|u| &*u.service == service);
    status.documents.retain(|d| &*d.service == service);
    status.refused.retain(|r| &*r.service == service);
}

fn print_text(report: &Report<Status>) {
    match &report.daemons[..] {
        [DaemonReport {
            status: Some(status),
            ..
        }] => daemon_view::print(status),
        daemons => fleet_view::print(daemons),
    }
}
