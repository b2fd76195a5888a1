//! The readiness endpoint that the fabric probes.

use bytes::Bytes;
use foxtailhinge_platform::READY_PATH;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Empty;
use hyper::body::Incoming;

/// Answers a readiness probe: 200 while this daemon accepts packets, 503 otherwise.
pub fn answer(req: &Request<Incoming>, ready: bool) -> Response<Empty<Bytes>> {
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = match (req.uri().path(), ready) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    answer
}
