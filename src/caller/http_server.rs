use super::connection_registry::{ConnectionRegistry, RegisteredConnection};
use super::{request, response};
use crate::event::Event;
use crate::name::RequestId;
use crate::route::{Answer, Refusal, RefusalCode, Router, Unsent};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::ServerFuture;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;
use xitca_web::service::{Service, ServiceExt, fn_service};
use xitca_web::{App, WebContext};

/// Threads that serve callers.
const WORKER_THREADS: usize = 2;
/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The HTTP library's limit for a head. It checks the limit only between two reads, so it also passes
/// heads that are larger by one read; `MAX_HEAD_BYTES` is checked on what it passes.
const LIBRARY_HEAD_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// How long a graceful shutdown waits for open connections. Each connection closes by itself once
/// its responses are sent or its idle timeout has passed.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 3_600;
const SERVICES_PREFIX: &str = "/v1/services/";

/// Serves callers on a listener until the server is stopped through the handle of the returned
/// future. Idle connections are closed after `idle_timeout`.
pub fn serve(router: Arc<Router>, listener: TcpListener, idle_timeout: Duration) -> ServerFuture {
    let config = HttpServiceConfig::new()
        .request_head_timeout(router.receive_timeout)
        .keep_alive_timeout(idle_timeout)
        .max_read_buf_size::<LIBRARY_HEAD_BYTES>();
    let registry = ConnectionRegistry::new();
    let state = AppState { router, registry: registry.clone() };
    let app = App::new().with_state(state).at("/{*}", fn_service(handle_request)).finish();
    let http = Arc::new(app).enclosed(HttpServiceBuilder::with_config(config));
    let service = http.enclosed_fn(async move |http, stream: Stream| {
        let _registered = match &stream {
            Stream::Tcp(stream, address) => configure_connection(&registry, *address, stream).ok(),
            _ => None,
        };
        http.call(stream).await
    });
    xitca_server::Builder::new()
        .disable_signal()
        .worker_threads(WORKER_THREADS)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .listen("callers", listener, service)
        .build()
}

/// Disables Nagle's algorithm (RFC 896), which would delay each token until the one before is
/// acknowledged, and registers the connection.
fn configure_connection(
    registry: &Arc<ConnectionRegistry>,
    address: SocketAddr,
    stream: &TcpStream,
) -> io::Result<RegisteredConnection> {
    stream.set_nodelay(true)?;
    registry.register(address, stream)
}

/// State shared by all request handlers.
#[derive(Clone)]
struct AppState {
    router: Arc<Router>,
    registry: Arc<ConnectionRegistry>,
}

async fn handle_request(
    mut ctx: WebContext<'_, AppState>,
) -> Result<WebResponse, xitca_web::error::Error> {
    let AppState { router, registry } = ctx.state().clone();
    let (parts, ext) = ctx.take_request().into_parts();
    let caller = *ext.socket_addr();
    let (_, mut body) = ext.replace_body(());
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    if head_bytes(&parts) > MAX_HEAD_BYTES {
        request::discard_body(&mut body).await;
        let response = response::empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        return Ok(response::set_connection_close(response, true));
    }
    if let Some(response) = health_response(&router, &target) {
        return Ok(response::set_connection_close(response, router.is_draining()));
    }
    let started = Instant::now();
    let id = RequestId::random();
    let served = tokio::select! {
        served = dispatch_request(
            &router, id, &parts.method, &target, &parts.headers, &mut body,
        ) => served,
        () = registry.clone().disconnected(caller) => {
            router.journal.record(Event::CallerLeft { request: id });
            // The caller is gone, so nobody reads this response; it only closes the connection.
            return Ok(response::set_connection_close(
                response::json_response(408, String::new()),
                true,
            ));
        }
    };
    if served.is_err() {
        request::discard_body(&mut body).await;
    }
    let answer = served.unwrap_or_else(Answer::Refused);
    metrics::histogram!("samphireshift_head_seconds").record(started.elapsed().as_secs_f64());
    let disconnected = Box::pin(registry.disconnected(caller));
    Ok(response::answer_response(id, answer, disconnected, router.is_draining()))
}

/// The size of a head in its shortest form, whatever spaces it was sent with.
fn head_bytes(parts: &Parts) -> usize {
    const LINE_BYTES: usize = " HTTP/1.1\r\n".len() + " ".len();
    const FIELD_BYTES: usize = ": \r\n".len();
    let target = parts.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let line = parts.method.as_str().len() + target + LINE_BYTES;
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_BYTES
    };
    line + parts.headers.iter().map(field).sum::<usize>()
}

/// Authenticates a request and passes it to the handler for its method and path.
async fn dispatch_request(
    router: &Arc<Router>,
    id: RequestId,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: &mut RequestBody,
) -> Result<Answer, Refusal> {
    let unsent = Unsent::accepted();
    let meta = request::parse_meta(router, id, headers, &unsent)?;
    let path = target.split('?').next().unwrap_or(target);
    if method == Method::GET && path == "/v1/models" {
        return Ok(Answer::Buffered(list_models(router, &meta.organisation)));
    }
    if let Some(rest) =
        path.strip_prefix(SERVICES_PREFIX).and_then(|_| target.strip_prefix(SERVICES_PREFIX))
    {
        let body = request::read_body(body, router, &unsent).await?;
        let call = request::parse_service_call(meta, method.clone(), rest, headers, body, &unsent)?;
        return Ok(router.call_service(call, unsent).await);
    }
    if method != Method::POST || path != "/v1/chat/completions" {
        let text = format!("there is no endpoint {method} {path}; see the README for the API");
        return Err(Refusal::not_run(RefusalCode::NotFound, text, &unsent));
    }
    let body = request::read_body(body, router, &unsent).await?;
    let chat = request::parse_chat(meta, &body, &unsent)?;
    Ok(router.chat(chat, unsent).await)
}

/// The response to a health check; `None` for any other request.
fn health_response(router: &Router, target: &str) -> Option<WebResponse> {
    let ready = !router.is_draining() && router.lease.config().is_some();
    match target {
        "/health/live" => Some(response::json_response(200, r#"{"live":true}"#.to_owned())),
        "/health/ready" if ready => {
            Some(response::json_response(200, r#"{"ready":true}"#.to_owned()))
        }
        "/health/ready" => Some(response::json_response(503, r#"{"ready":false}"#.to_owned())),
        _ => None,
    }
}

fn list_models(
    router: &Router,
    organisation: &crate::name::OrganisationName,
) -> crate::route::BufferedAnswer {
    let config = router.lease.config().unwrap_or_default();
    let mut data = Vec::new();
    if let Some(organisation) = config.organisations.get(organisation) {
        for (key, version) in config.versions_for(organisation) {
            let id = key.to_string();
            data.push(serde_json::json!({ "id": id, "object": "model", "state": version.state }));
        }
    }
    let body = serde_json::json!({ "object": "list", "data": data }).to_string();
    let content_type = "application/json".to_owned();
    crate::route::BufferedAnswer { status: 200, content_type, body: body.into() }
}
