//! Runs a small fleet and publishes its documents from files whenever they are edited.

use foxtailhinge_standins::fleet::Fleet;
use std::{
    fs,
    path::PathBuf,
    process::ExitCode,
    thread,
    time::Duration, //
};

/// First argument that makes this program run as a daemon.
const DAEMON: &str = "daemon";
/// Interval at which the files are read.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON) {
        return foxtailhinge::command::run(args.into_iter().skip(1));
    }
    let dir = PathBuf::from(args.first().map_or("documents", String::as_str));
    match run(&dir) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(dir: &std::path::Path) -> anyhow::Result<()> {
    let fleet = Fleet::builder()
        .daemons(4)
        .zones(2)
        .upstreams(4, 2)
        .binary(std::env::current_exe()?)
        .args(&[DAEMON])
        .start()?;
    fs::create_dir_all(dir)?;
    let mut files = Vec::new();
    for service in fleet.deployment().services() {
        let file = dir.join(format!("{service}.jsonc"));
        let text = fleet.document_of(service).text();
        fs::write(&file, &text)?;
        println!(
            "{service} at coap://{}, document {}",
            fleet.document_of(service).address,
            file.display()
        );
        files.push((service, file, text));
    }
    for vm in fleet.vms() {
        println!(
            "{vm} in {}: --admin {}:7002",
            fleet.zone_of(&vm),
            fleet.ip_of(&vm)
        );
    }
    loop {
        thread::sleep(POLL_INTERVAL);
        for (service, file, text) in &mut files {
            let edited = fs::read_to_string(&*file)?;
            if edited != *text {
                let revision = fleet.platform().publish(service, &edited);
                println!("{service}: revision {revision} is published");
                *text = edited;
            }
        }
    }
}
