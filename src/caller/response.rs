//! Builds the HTTP responses for answers and refusals.

use super::body::StreamedBody;
use crate::name::RequestId;
use crate::route::{Answer, BufferedAnswer, Refusal};
use futures::future::BoxFuture;
use http::{HeaderValue, StatusCode, header};
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

/// The header of a refusal that says whether the request was run.
const RAN_HEADER: &str = "x-samphireshift-ran";
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Builds the response to a request. A streamed answer is aborted when `disconnected` completes.
/// With `closing`, the caller is told that the connection will be closed after the response.
pub fn answer_response(
    request: RequestId,
    answer: Answer,
    disconnected: BoxFuture<'static, ()>,
    closing: bool,
) -> WebResponse {
    let mut response = match answer {
        Answer::Buffered(answer) => buffered_response(answer),
        Answer::Refused(refusal) => refusal_response(&refusal),
        Answer::Stream(items) => {
            let body = ResponseBody::boxed(StreamedBody::new(items, disconnected));
            let mut response = WebResponse::new(body);
            let headers = response.headers_mut();
            let content_type = HeaderValue::from_static("text/event-stream");
            headers.insert(header::CONTENT_TYPE, content_type);
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            response
        }
    };
    let id = HeaderValue::from_str(&request.to_string()).expect("hex digits are a header value");
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    set_connection_close(response, closing)
}

/// Adds `Connection: close` to a response if `closing` is set.
pub fn set_connection_close(mut response: WebResponse, closing: bool) -> WebResponse {
    if closing {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = status;
    response
}

/// A response with a JSON document as its body.
pub fn json_response(status: u16, body: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn buffered_response(answer: BufferedAnswer) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_str(&answer.content_type);
    let content_type = content_type.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn refusal_response(refusal: &Refusal) -> WebResponse {
    let mut response = json_response(refusal.code.status(), refusal.body());
    let ran = HeaderValue::from_static(refusal.ran.as_str());
    response.headers_mut().insert(RAN_HEADER, ran);
    if let Some(retry) = refusal.retry_after {
        let seconds = HeaderValue::from(retry.as_secs().max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
