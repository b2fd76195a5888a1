//! `foxtailctl status`.

use crate::{
    admin::{
        AdminClient,
        AdminError, //
    },
    daemon_report::DaemonReport,
    daemon_view,
    error::Outcome,
    fleet_view,
    output::print_json, //
};
use foxtailhinge_config::report::Status;
use serde::Serialize;
use std::net::SocketAddr;

#[derive(Serialize)]
struct Report {
    daemons: Vec<DaemonReport>,
}

/// Prints what daemons know.
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
        return print(&report, json);
    }
    let daemons = admins.iter().map(|admin| {
        let status = AdminClient::new(*admin).status();
        report(*admin, status, service)
    });
    let report = Report {
        daemons: daemons.collect(),
    };
    print(&report, json)
}

fn report(
    admin: SocketAddr,
    status: Result<Status, AdminError>,
    service: Option<&str>,
) -> DaemonReport {
    match status {
        Ok(mut status) => {
            if let Some(service) = service {
                keep_service(&mut status, service);
            }
            DaemonReport {
                admin,
                status: Some(status),
                error: None,
            }
        }
        Err(e) => DaemonReport {
            admin,
            status: None,
            error: Some(e.to_string()),
        },
    }
}

fn keep_service(status: &mut Status, service: &str) {
    status.zones.retain(|z| &*z.service == service);
    status.upstreams.retain(|u| &*u.service == service);
    status.documents.retain(|d| &*d.service == service);
    status.refused.retain(|r| &*r.service == service);
}

fn print(report: &Report, json: bool) -> anyhow::Result<Outcome> {
    if json {
        print_json(report)?;
    } else {
        print_text(report);
    }
    let all_answered = report.daemons.iter().all(|d| d.error.is_none());
    Ok(match all_answered {
        true => Outcome::Success,
        false => Outcome::Findings,
    })
}

fn print_text(report: &Report) {
    match &report.daemons[..] {
        [DaemonReport {
            status: Some(status),
            ..
        }] => daemon_view::print(status),
        daemons => fleet_view::print(daemons),
    }
}
