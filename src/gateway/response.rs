use super::{GatewayError, HeaderFormat};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::io;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// A body that is known in full.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is streamed. An error closes the connection, so that the caller does not take the
/// response for complete.
pub fn stream_body<S>(frames: S) -> ResponseBody
where
    S: futures::Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
{
    StreamBody::new(frames).boxed_unsync()
}

/// The router's own error response, as JSON.
pub fn error_response(error: &GatewayError, format: &dyn HeaderFormat) -> Response<ResponseBody> {
    let body =
        serde_json::json!({ "error": { "code": error.code(), "message": error.to_string() } });
    let mut response = Response::new(full_body(body.to_string().into()));
    *response.status_mut() = error.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = error.retry_after() {
        headers.insert(header::RETRY_AFTER, format.retry_after(wait));
    }
    response
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // `Content-Length` is set by hyper.
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Whether a response is a stream of events, or names no type and so may be one.
pub fn may_carry_events<B>(response: &Response<B>) -> bool {
    media_type(response).is_none_or(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
}

/// The media type that a response names, without parameters.
pub fn media_type<B>(response: &Response<B>) -> Option<&str> {
    let value = response.headers().get(header::CONTENT_TYPE)?.to_str().ok()?;
    value.split(';').next().map(str::trim)
}

/// Whether a response has neither a length nor chunks, so that only the end of its connection ends it.
pub fn ends_with_connection<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let is_framed = |name| headers.contains_key(name);
    ![header::CONTENT_LENGTH, header::TRANSFER_ENCODING].into_iter().any(is_framed)
}
