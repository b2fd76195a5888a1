//! Metrics and reports of the load of services.

use foxtailhinge::{
    admin::{
        self,
        AdmissionError,
        AdmissionQuery,
        AdmissionTarget,
        PacketReports,
        Reports, //
    },
    packets::{
        metrics::{
            PacketMetrics,
            SERVICES_MAX, //
        },
        report::{
            load_report,
            opening_report, //
        },
    },
};
use foxtailhinge_config::packet_report::{
    AdmissionReport,
    ServiceLoadReport, //
};
use foxtailhinge_policy::packets::{
    entry::PRIORITY_LOWEST,
    AdmissionReason,
    Route,
    ServiceLoad,
    Target, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpStream, //
    },
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration, //
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn load(service: &str, utilization: f64) -> ServiceLoad {
    ServiceLoad {
        service: service.into(),
        slots: 56,
        utilization,
        service_time: Some(Duration::from_micros(41_260)),
        goal: Duration::from_millis(32),
        refusal_rate: 0.0214,
        admitted: 1.0,
        leaving: Vec::new(),
        daemons: 8,
    }
}

/// Lines of the metrics about loads.
fn load_lines(metrics: &PacketMetrics) -> String {
    let text = metrics.render();
    let lines = text
        .lines()
        .filter(|line| line.contains("foxtailhinge_service_") || line.contains("own_delay"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Dashboards and alerts depend on the names.
#[test]
fn loads_have_time_series_by_service() {
    let metrics = PacketMetrics::new();
    let overloaded = ServiceLoad {
        admitted: 0.85,
        leaving: vec![("windhoek-2".into(), 0.125), ("windhoek-3".into(), 0.25)],
        ..load("syncdesk-api", 1.5)
    };
    let unanswered = ServiceLoad {
        service_time: None,
        ..load("certvault", 0.25)
    };
    metrics.set_loads(&[unanswered, overloaded], Duration::from_micros(62_500));
    insta::assert_snapshot!(load_lines(&metrics));
}

/// A time series of a service without traffic would show its last load forever.
#[test]
fn the_time_series_of_a_vanished_service_ends() {
    let metrics = PacketMetrics::new();
    metrics.set_loads(&[load("syncdesk-api", 1.5)], Duration::ZERO);
    metrics.set_loads(&[load("certvault", 0.5)], Duration::ZERO);
    let lines = load_lines(&metrics);
    assert!(
        lines.contains("certvault") && !lines.contains("syncdesk-api"),
        "{lines}"
    );
}

/// The store may list thousands of services; each would add five time series per daemon. The services to look at are
/// those that reject callers or send them away.
#[test]
fn the_number_of_services_with_time_series_is_bounded() {
    let metrics = PacketMetrics::new();
    let mut loads: Vec<_> = (0..1_000)
        .map(|n| load(&format!("service-{n:03}"), f64::from(n) / 1_000.0))
        .collect();
    loads[3].admitted = 0.9;
    loads[5].leaving = vec![("windhoek-2".into(), 0.1)];
    metrics.set_loads(&loads, Duration::ZERO);
    let lines = load_lines(&metrics);
    let shown: Vec<_> = lines
        .lines()
        .filter(|line| line.starts_with("foxtailhinge_service_utilization{"))
        .collect();
    assert_eq!(shown.len(), SERVICES_MAX);
    for service in ["service-003", "service-005", "service-999", "service-970"] {
        assert!(
            shown.iter().any(|line| line.contains(service)),
            "{service}: {shown:?}"
        );
    }
    assert!(!lines.contains("service-969"), "{shown:?}");
}

/// JSON has no infinity: the report of a service that has lost all its slots could not be read.
#[test]
fn reports_have_finite_numbers() {
    let report = load_report(&ServiceLoad {
        slots: 0,
        refusal_rate: f64::NAN,
        ..load("syncdesk-api", f64::INFINITY)
    });
    let text = serde_json::to_string(&report).unwrap();
    let read: ServiceLoadReport = serde_json::from_str(&text).unwrap();
    assert_eq!(read, report);
    assert!(read.utilization > 1.0, "{read:?}");
}

fn reason(place: f64, priority: u8) -> AdmissionReason {
    AdmissionReason {
        caller: Ipv4Addr::new(100, 67, 0, 24),
        service: "syncdesk-api".into(),
        priority,
        place,
        admitted: 0.5,
        is_heavy: false,
        is_admitted: place <= 0.5,
    }
}

fn report(reasons: &[AdmissionReason], load: Option<&ServiceLoad>) -> AdmissionReport {
    let target = Target {
        service: "syncdesk-api".into(),
        weight: 1,
    };
    let route = Route {
        name: "orders".into(),
        targets: vec![target.clone()].into(),
        target_latency: Duration::from_millis(250),
        is_idempotent: true,
        priority: 1,
    };
    let addr = "198.18.0.1:8080".parse().unwrap();
    let openings = reasons.iter();
    let openings = openings.map(|reason| opening_report(addr, &route, &target, reason, load));
    AdmissionReport {
        vm: "vm-1".into(),
        caller: Ipv4Addr::new(100, 67, 0, 24),
        openings: openings.collect(),
        left_out: 0,
    }
}

/// `foxtailctl` and scripts read these names.
#[test]
fn an_explanation_names_the_cause_and_the_way() {
    let load = ServiceLoad {
        admitted: 0.5,
        leaving: vec![("windhoek-2".into(), 0.2)],
        ..load("syncdesk-api", 1.5)
    };
    let reasons = [
        reason(0.3, 0),
        reason(0.45, 1),
        reason(0.9, PRIORITY_LOWEST),
    ];
    insta::assert_json_snapshot!(report(&reasons, Some(&load)));
}

/// A service without traffic has no load, but its callers can be explained.
#[test]
fn an_explanation_needs_no_traffic() {
    let report = report(&[reason(0.45, 1)], None);
    assert!(!report.openings[0].leaves && report.openings[0].leaving.is_empty());
}

struct Fake;

impl Reports for Fake {
    type Status = ();

    fn metrics(&self) -> String {
        String::new()
    }

    fn status(&self) {}
}

impl PacketReports for Fake {
    fn explain_admission(&self, query: &AdmissionQuery) -> Result<AdmissionReport, AdmissionError> {
        match &query.target {
            AdmissionTarget::Service(service) if service == "none" => {
                Err(AdmissionError::UnknownService(service.clone()))
            }
            AdmissionTarget::Route(route) if route.port() == 1 => {
                Err(AdmissionError::UnknownRoute(*route))
            }
            _ => Ok(report(&[], None)),
        }
    }
}

/// Serves the reports of a fake daemon on a thread that runs until the test process ends.
fn start() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            admin::serve_reports(listener, Rc::new(Fake)).await;
        });
    });
    rx.recv().unwrap()
}

/// Returns the status line and the body of the response to a request.
fn request(addr: SocketAddr, head: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    write!(stream, "{head} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    format!(
        "{head_line}\n{body}",
        head_line = head.lines().next().unwrap()
    )
}

/// A request that is not understood must say what to write instead.
#[test]
fn explanations_of_callers_are_served() {
    let addr = start();
    let requests = [
        "GET /explain?caller=100.67.0.24&service=syncdesk-api",
        "GET /explain?caller=100.67.0.24&route=198.18.0.1:8080",
        "GET /explain?caller=100.67.0.24&route=198.18.0.1%3A8080",
        "GET /explain?caller=100.67.0.24&service=none",
        "GET /explain?caller=100.67.0.24&route=198.18.0.1:1",
        "GET /explain",
        "GET /explain?service=syncdesk-api",
        "GET /explain?caller=100.67.0.24",
        "GET /explain?caller=100.67.0.24&service=a&route=198.18.0.1:8080",
        "GET /explain?caller=vm-1&service=syncdesk-api",
        "GET /explain?caller=100.67.0.24&route=198.18.0.1",
        "GET /explain?service=syncdesk-api&ticket=0f",
        "POST /explain?caller=100.67.0.24&service=syncdesk-api",
        "GET /audit",
    ];
    let answers = requests.map(|head| format!("{head}\n{}\n", request(addr, head)));
    insta::assert_snapshot!(answers.join("\n"));
}
