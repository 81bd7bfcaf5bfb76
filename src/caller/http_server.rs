use super::presence::{Presence, Present};
use super::{read, respond};
use crate::event::Event;
use crate::name::RequestId;
use crate::route::{Answer, Refusal, RefusalCode, Router, Unsent};
use http::{HeaderMap, Method};
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
const WORKERS: usize = 2;
/// The largest head of a request, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// How long a stopping front waits for its connections, in seconds; each ends by itself when its
/// answers are out or when it has been idle for long enough.
const STOP_SECONDS: u64 = 3_600;
const SERVICES: &str = "/v1/services/";

/// Serves callers on a listener until the returned future's handle stops it; an idle connection is
/// kept for `idle`.
pub fn serve(router: Arc<Router>, listener: TcpListener, idle: Duration) -> ServerFuture {
    let config = HttpServiceConfig::new()
        .request_head_timeout(router.receive_timeout)
        .keep_alive_timeout(idle)
        .max_read_buf_size::<HEAD_BYTES>();
    let presence = Presence::open();
    let front = Front { router, presence: presence.clone() };
    let app = App::new().with_state(front).at("/{*}", fn_service(handle)).finish();
    let http = Arc::new(app).enclosed(HttpServiceBuilder::with_config(config));
    let service = http.enclosed_fn(async move |http, stream: Stream| {
        let _present = match &stream {
            Stream::Tcp(stream, address) => set_up(&presence, *address, stream).ok(),
            _ => None,
        };
        http.call(stream).await
    });
    xitca_server::Builder::new()
        .disable_signal()
        .worker_threads(WORKERS)
        .shutdown_timeout(STOP_SECONDS)
        .listen("callers", listener, service)
        .build()
}

/// Has each token leave at once, rather than with the acknowledgement of the one before (Nagle,
/// RFC 896), and takes the connection into the table.
fn set_up(
    presence: &Arc<Presence>,
    address: SocketAddr,
    stream: &TcpStream,
) -> io::Result<Present> {
    stream.set_nodelay(true)?;
    presence.enter(address, stream)
}

/// What serving callers needs.
#[derive(Clone)]
struct Front {
    router: Arc<Router>,
    presence: Arc<Presence>,
}

async fn handle(mut ctx: WebContext<'_, Front>) -> Result<WebResponse, xitca_web::error::Error> {
    let Front { router, presence } = ctx.state().clone();
    let (parts, ext) = ctx.take_request().into_parts();
    let caller = *ext.socket_addr();
    let (_, mut body) = ext.replace_body(());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    if let Some(response) = health(&router, &path) {
        return Ok(respond::closing_if(response, router.is_draining()));
    }
    let started = Instant::now();
    let id = RequestId::random();
    let served = tokio::select! {
        served = serve_one(&router, id, &parts.method, &path, &parts.headers, &mut body) => served,
        () = presence.clone().gone(caller) => {
            router.journal.record(Event::CallerLeft { request: id });
            // Nobody reads this; the connection ends with it.
            return Ok(respond::closing_if(respond::json(408, String::new()), true));
        }
    };
    if served.is_err() {
        read::discard(&mut body).await;
    }
    let answer = served.unwrap_or_else(Answer::Refused);
    metrics::histogram!("samphireshift_head_seconds").record(started.elapsed().as_secs_f64());
    let gone = Box::pin(presence.gone(caller));
    Ok(respond::respond(id, answer, gone, router.is_draining()))
}

async fn serve_one(
    router: &Arc<Router>,
    id: RequestId,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &mut RequestBody,
) -> Result<Answer, Refusal> {
    let unsent = Unsent::accepted();
    let meta = read::meta(router, id, headers, &unsent)?;
    let plain = path.split('?').next().unwrap_or(path);
    if method == Method::GET && plain == "/v1/models" {
        return Ok(Answer::Buffered(models(router, &meta.organisation)));
    }
    if let Some(rest) = plain.strip_prefix(SERVICES).and_then(|_| path.strip_prefix(SERVICES)) {
        let body = read::body(body, router, &unsent).await?;
        let call = read::service(meta, method.clone(), rest, headers, body, &unsent)?;
        return Ok(router.call_service(call, unsent).await);
    }
    if method != Method::POST || plain != "/v1/chat/completions" {
        let text = format!("there is no {method} {plain}; see the README for the API");
        return Err(Refusal::not_run(RefusalCode::NotFound, text, &unsent));
    }
    let body = read::body(body, router, &unsent).await?;
    let chat = read::chat(meta, &body, &unsent)?;
    Ok(router.chat(chat, unsent).await)
}

fn health(router: &Router, path: &str) -> Option<WebResponse> {
    let ready = !router.is_draining() && router.lease.config().is_some();
    match path {
        "/health/live" => Some(respond::json(200, r#"{"live":true}"#.to_owned())),
        "/health/ready" if ready => Some(respond::json(200, r#"{"ready":true}"#.to_owned())),
        "/health/ready" => Some(respond::json(503, r#"{"ready":false}"#.to_owned())),
        _ => None,
    }
}

fn models(
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
