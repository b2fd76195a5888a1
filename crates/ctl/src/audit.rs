//! `foxtailctl audit`.

use crate::{
    admin::{
        AdminClient,
        AdminError, //
    },
    error::Outcome,
    output::print_json_line,
    time::utc, //
};
use foxtailhinge_config::report::{
    AuditEvent,
    AuditPage,
    AuditRecord, //
};
use std::{
    net::SocketAddr,
    thread::sleep,
    time::Duration, //
};

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the audit trail of a daemon.
pub(crate) fn run(
    admin: SocketAddr,
    service: Option<&str>,
    since: u64,
    follow: bool,
    json: bool,
) -> anyhow::Result<Outcome> {
    let client = AdminClient::new(admin);
    let page = client.audit(since, service)?;
    print(&page, json)?;
    if follow {
        let mut follower = Follower {
            incarnation: page.incarnation,
            since: last_seq(&page).unwrap_or(since),
            reachable: true,
        };
        follower.run(&client, service, json)?;
    }
    Ok(Outcome::Success)
}

/// Position in the audit trail of a daemon; a restarted daemon starts a new trail.
struct Follower {
    incarnation: u32,
    since: u64,
    reachable: bool,
}

impl Follower {
    fn run(
        &mut self,
        client: &AdminClient,
        service: Option<&str>,
        json: bool,
    ) -> anyhow::Result<()> {
        loop {
            sleep(POLL_INTERVAL);
            let page = client.audit(self.since, service);
            let Some(page) = self.reached(page)? else {
                continue;
            };
            if page.incarnation != self.incarnation {
                self.restart(page.incarnation);
                continue;
            }
            print(&page, json)?;
            self.since = last_seq(&page).unwrap_or(self.since);
        }
    }

    /// Returns no page while the daemon is unreachable, as during a restart; only the first such failure is printed.
    fn reached(
        &mut self,
        page: Result<AuditPage, AdminError>,
    ) -> anyhow::Result<Option<AuditPage>> {
        match page {
            Err(e @ AdminError::Unreachable { .. }) => {
                if self.reachable {
                    eprintln!("foxtailctl: {e}");
                }
                self.reachable = false;
                Ok(None)
            }
            page => {
                self.reachable = true;
                Ok(Some(page?))
            }
        }
    }

    fn restart(&mut self, incarnation: u32) {
        eprintln!("foxtailctl: The daemon was restarted; its audit trail starts over.");
        self.incarnation = incarnation;
        self.since = 0;
    }
}

fn last_seq(page: &AuditPage) -> Option<u64> {
    page.records.last().map(|r| r.seq)
}

fn print(page: &AuditPage, json: bool) -> anyhow::Result<()> {
    for record in &page.records {
        if json {
            print_json_line(record)?;
        } else {
            print_text(record);
        }
    }
    Ok(())
}

fn print_text(record: &AuditRecord) {
    let AuditRecord { seq, at, event } = record;
    println!("{} seq={seq} {event}", utc(*at));
    if let AuditEvent::DocumentRefused { findings, .. } = event {
        for finding in findings {
            println!("    {finding}");
        }
    }
}
