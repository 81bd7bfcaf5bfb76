//! The HTTP server for callers.

mod body;
mod connection_registry;
mod http_server;
mod request;
mod response;
mod service_path;

pub use http_server::serve;
pub use response::json_response;
