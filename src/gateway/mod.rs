//! A router-only daemon: accepts calls on configured routes and forwards them unchanged to pools of
//! backend servers. Lease, configuration and VM list come from the voters.

mod accept;
mod accepted_call;
mod allowed_servers;
mod answer_watch;
mod attempt_trail;
mod attempts;
mod brittle_servers;
mod call;
mod call_body;
mod cold_loop;
mod cold_news;
mod connection_loop;
mod connection_room;
mod destination;
mod evacuated_servers;
mod event_splitter;
mod exchange;
mod gateway_error;
mod header_format;
mod helper_list;
mod hop;
mod hop_account;
mod hop_server;
mod http_server;
mod leader_loop;
mod lease_loop;
mod leaving_servers;
mod limit_loop;
mod model_servers;
mod part_loop;
mod part_watch;
mod pass_on;
mod path_sweep;
mod paths;
mod placement;
mod request_hasher;
mod response;
mod response_timeout;
mod returned_servers;
mod room;
mod route_index;
mod route_permit;
mod run;
mod server_limits;
mod server_news;
mod server_selection;
mod server_table;
mod sessions;
mod standing;
mod state;
mod stream_relay;
mod tallies;
mod token_queue;
mod unfinished_answer;
mod voters;

pub use destination::Destination;
pub use event_splitter::{EventSplitter, StreamEnd};
pub use gateway_error::GatewayError;
pub use header_format::{
    ForwardedHead, HeaderFormat, NamedLimit, PromptPart, ReportedLoad, RequestHead, RequestedModel,
    ResponseHead, TokenCounts,
};
pub use hop::Hop;
pub use hop_account::{HopAccount, HopAllowance};
pub use request_hasher::RequestHasher;
pub use route_index::{Access, RouteIndex};
pub use run::run;
pub use state::Gateway;
