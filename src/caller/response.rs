//! Answers and refusals as HTTP responses.

use super::body::StreamedBody;
use crate::name::RequestId;
use crate::route::{Answer, BufferedAnswer, Refusal};
use futures::future::BoxFuture;
use http::{HeaderValue, StatusCode, header};
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

const RAN_HEADER: &str = "x-samphireshift-ran";
const REQUEST_HEADER: &str = "x-request-id";

/// Makes the response to a request; `gone` ends when the caller has left.
pub fn respond(
    request: RequestId,
    answer: Answer,
    gone: BoxFuture<'static, ()>,
    closing: bool,
) -> WebResponse {
    let mut response = match answer {
        Answer::Buffered(whole) => whole_response(whole),
        Answer::Refused(refusal) => refusal_response(&refusal),
        Answer::Stream(input) => {
            let body = ResponseBody::boxed(StreamedBody::new(input, gone));
            let mut response = WebResponse::new(body);
            let headers = response.headers_mut();
            let media = HeaderValue::from_static("text/event-stream");
            headers.insert(header::CONTENT_TYPE, media);
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            response
        }
    };
    let id = HeaderValue::from_str(&request.to_string()).expect("hex digits are a header value");
    response.headers_mut().insert(REQUEST_HEADER, id);
    closing_if(response, closing)
}

/// Announces that the connection ends behind this answer, where it does.
pub fn closing_if(mut response: WebResponse, closing: bool) -> WebResponse {
    if closing {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A JSON document.
pub fn json(status: u16, body: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let media = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

fn whole_response(whole: BufferedAnswer) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(whole.body));
    *response.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let media = HeaderValue::from_str(&whole.content_type);
    let media = media.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

fn refusal_response(refusal: &Refusal) -> WebResponse {
    let mut response = json(refusal.code.status(), refusal.body());
    let ran = HeaderValue::from_static(refusal.ran.as_str());
    response.headers_mut().insert(RAN_HEADER, ran);
    if let Some(retry) = refusal.retry_after {
        let seconds = HeaderValue::from(retry.as_secs().max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
