//! Routes of the admin interface and their responses.

use crate::admin::{
    operations::{
        AdmissionError,
        ExplainError,
        FaultsError,
        Operations,
        PacketReports,
        Reports, //
    },
    query::{
        self,
        QueryError, //
    }, //
};
use bytes::Bytes;
use foxtailhinge_config::report::{
    ErrorResponse,
    Faults, //
};
use http::{
    header::{
        ALLOW,
        CONTENT_TYPE, //
    },
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use serde::Serialize;
use thiserror::Error;

/// Maximum size of a request body, in bytes.
const BODY_BYTES: usize = 64 * 1024;
const JSON: &str = "application/json";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

type Answer = Response<Full<Bytes>>;

/// Why a request was refused.
#[derive(Debug, Error)]
enum RequestError {
    #[error("Ask for /metrics, /status, /audit or /explain; \"{0}\" is not served.")]
    Path(String),
    #[error("Ask for /metrics, /status or /explain; \"{0}\" is not served.")]
    ReportPath(String),
    #[error("Use the method {0} for this path.")]
    Method(&'static str),
    #[error(transparent)]
    Query(#[from] QueryError),
    #[error("Send a body of at most {BODY_BYTES} bytes.")]
    Body,
    #[error(
        "Send a body such as {{\"deny\":[\"vm-1\",\"platform\"]}}; this one was refused: {0}."
    )]
    Faults(serde_json::Error),
    #[error(transparent)]
    Explain(#[from] ExplainError),
    #[error(transparent)]
    Admission(#[from] AdmissionError),
    #[error(transparent)]
    FaultsRefused(#[from] FaultsError),
    #[error("Report this failure; the response could not be written: {0}.")]
    Response(serde_json::Error),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Path(_) | Self::ReportPath(_) => StatusCode::NOT_FOUND,
            Self::Explain(ExplainError::UnknownService(_)) | Self::Admission(_) => {
                StatusCode::NOT_FOUND
            }
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::FaultsRefused(FaultsError::NotEnabled) => StatusCode::FORBIDDEN,
            Self::Response(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Query(_) | Self::Faults(_) | Self::Explain(_) => StatusCode::BAD_REQUEST,
        }
    }

    fn into_answer(self) -> Answer {
        let refusal = ErrorResponse {
            error: self.to_string(),
        };
        let body = serde_json::to_vec(&refusal).unwrap_or_default();
        let mut answer = respond(self.status(), JSON, body);
        if let Self::Method(allowed) = self {
            let headers = answer.headers_mut();
            headers.insert(ALLOW, http::HeaderValue::from_static(allowed));
        }
        answer
    }
}

/// Answers one request of the whole interface.
pub(super) async fn answer<S: Operations>(req: Request<Incoming>, operations: &S) -> Answer {
    match route(req, operations).await {
        Ok(answer) => answer,
        Err(e) => e.into_answer(),
    }
}

/// Answers one request of an interface that serves only reports.
pub(super) fn answer_reports<R: PacketReports>(req: &Request<Incoming>, reports: &R) -> Answer {
    let path = req.uri().path();
    let answered = match path {
        "/metrics" => read(req, metrics, reports),
        "/status" => read(req, status, reports),
        "/explain" => read(req, explain_admission, reports),
        _ => Err(RequestError::ReportPath(path.to_owned())),
    };
    answered.unwrap_or_else(RequestError::into_answer)
}

fn read<R>(
    req: &Request<Incoming>,
    report: fn(&R, &str) -> Result<Answer, RequestError>,
    reports: &R,
) -> Result<Answer, RequestError> {
    if req.method() != Method::GET {
        return Err(RequestError::Method("GET"));
    }
    report(reports, req.uri().query().unwrap_or_default())
}

async fn route<S: Operations>(
    req: Request<Incoming>,
    operations: &S,
) -> Result<Answer, RequestError> {
    let path = req.uri().path();
    if path == "/faults" {
        return set_faults(req, operations).await;
    }
    let report = match path {
        "/metrics" => metrics,
        "/status" => status,
        "/audit" => audit,
        "/explain" => explain,
        _ => return Err(RequestError::Path(path.to_string())),
    };
    read(&req, report, operations)
}

fn metrics<R: Reports>(reports: &R, query: &str) -> Result<Answer, RequestError> {
    query::none(query)?;
    Ok(respond(StatusCode::OK, PROMETHEUS_TEXT, reports.metrics()))
}

fn status<R: Reports>(reports: &R, query: &str) -> Result<Answer, RequestError> {
    query::none(query)?;
    json(&reports.status())
}

fn audit<S: Operations>(operations: &S, query: &str) -> Result<Answer, RequestError> {
    json(&operations.audit(&query::audit(query)?))
}

fn explain<S: Operations>(operations: &S, query: &str) -> Result<Answer, RequestError> {
    json(&operations.explain(&query::explain(query)?)?)
}

fn explain_admission<R: PacketReports>(reports: &R, query: &str) -> Result<Answer, RequestError> {
    json(&reports.explain_admission(&query::admission(query)?)?)
}

async fn set_faults<S: Operations>(
    req: Request<Incoming>,
    operations: &S,
) -> Result<Answer, RequestError> {
    if req.method() != Method::PUT {
        return Err(RequestError::Method("PUT"));
    }
    query::none(req.uri().query().unwrap_or_default())?;
    let body = Limited::new(req.into_body(), BODY_BYTES).collect().await;
    let body = body.map_err(|_| RequestError::Body)?.to_bytes();
    let faults: Faults = serde_json::from_slice(&body).map_err(RequestError::Faults)?;
    operations.set_faults(faults.clone())?;
    json(&faults)
}

fn json<T: Serialize>(report: &T) -> Result<Answer, RequestError> {
    let body = serde_json::to_vec(report).map_err(RequestError::Response)?;
    Ok(respond(StatusCode::OK, JSON, body))
}

fn respond(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    answer
}
