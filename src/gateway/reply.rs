use super::{CallFormat, Refused};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::io;

/// The body of an answer to a caller.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A body that is known whole.
pub fn whole(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that arrives in pieces; an error breaks the connection off, so that the caller does not
/// take the answer for whole.
pub fn streamed<S>(pieces: S) -> ReplyBody
where
    S: futures::Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
{
    StreamBody::new(pieces).boxed_unsync()
}

/// The router's own answer.
pub fn refuse(refused: &Refused, format: &dyn CallFormat) -> Response<ReplyBody> {
    let text = serde_json::json!({ "error": { "code": refused.reason(), "message": refused.to_string() } });
    let mut response = Response::new(whole(text.to_string().into()));
    *response.status_mut() = refused.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refused.retry() {
        headers.insert(header::RETRY_AFTER, format.retry_after(wait));
    }
    response
}

/// Removes the headers that concern one connection only, also those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // An answer's length is the library's to write.
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}
