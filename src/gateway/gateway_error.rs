use super::allowed_servers::Obstacle;
use crate::control::Suspect;
use crate::name::PoolName;
use http::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// When a caller may ask again with what ends servers: it is tried again then, unless an operator
/// clears it before.
const BLOCKED_RETRY_DELAY: Duration = Duration::from_secs(600);

/// When a caller may come back to a router that reaches no server: it tries one that often.
const PATH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// When a caller may come back while all servers of a pool are evacuated: an operator may take them back at any
/// time.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a call got no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GatewayError {
    /// The router has no lease or no configuration.
    #[error("this router has no valid lease or no routes; retry at another router")]
    NoLease,
    /// The router has just started and did not receive a configuration in time.
    #[error("this router has just started and has no configuration yet; retry in a moment")]
    Starting,
    /// The router is shutting down.
    #[error("this router is shutting down; retry at another router")]
    Stopping,
    /// No server of the pool can take the call now.
    #[error("no server of pool {0} can take the call now; retry later")]
    NoServer(String),
    /// Every server of the pool that could take the call lies in a data centre that is evacuated.
    #[error("all servers of pool {0} lie in data centres that are evacuated; retry later")]
    Evacuated(String),
    /// Every server of the pool lies in a region where the call may not be served.
    #[error("all servers of pool {0} lie in regions where this call may not be served")]
    NoRegion(String),
    /// Every server of the pool has asked to be sent nothing for some time.
    #[error("every server of pool {pool} has asked for a pause; retry in {} ms", wait.as_millis())]
    ServersBackingOff {
        /// The pool.
        pool: String,
        /// The time until the first of them takes calls again.
        wait: Duration,
    },
    /// The limits that the servers of the pool name allow no call in time.
    #[error(
        "the servers of pool {pool} take no more calls in time, by the limits that they name; \
         retry in {} ms", wait.as_millis()
    )]
    ServersLimited {
        /// The pool.
        pool: String,
        /// The time until it is this caller's turn.
        wait: Duration,
    },
    /// The pool has too little room for all calls, and others go before this one.
    #[error("pool {pool} has too little room for this call; retry in {} ms", wait.as_millis())]
    Overloaded {
        /// The pool.
        pool: String,
        /// The time until it is this caller's turn.
        wait: Duration,
    },
    /// Every server that was tried stated that it did not run the call.
    #[error("every server that was tried is full; retry later")]
    ServersFull,
    /// This router reaches no server of the pool, and no other router takes the call.
    #[error("no server of pool {0} can be reached from this router; retry at another router")]
    NoPath(String),
    /// The router that the call was passed on to refuses it.
    #[error(
        "no server can be reached from this router, and another one refuses the call: {status}"
    )]
    PassedOn {
        /// The status of the refusal.
        status: StatusCode,
        /// When the caller may come back, as the other router says.
        wait: Option<Duration>,
    },
    /// The deadline passed before the call was sent.
    #[error("the deadline passed before the call was sent; retry with a longer timeout")]
    NotSentInTime,
    /// Servers have ended under calls with a part of this prompt, or under this request.
    #[error(
        "{0} ends the servers that run it, so it is sent to none; leave it out, or ask an operator \
         to clear it"
    )]
    Blocked(Suspect),
    /// No route matches the host and path.
    #[error("there is no route for {0}; check the host and path")]
    NoRoute(String),
    /// The API key is missing, or no organisation owns it.
    #[error("the API key is missing or unknown; send a valid key")]
    InvalidKey,
    /// The request is malformed.
    #[error("the request is malformed: {0}")]
    Malformed(String),
    /// The body exceeds the size limit, in bytes.
    #[error("the request body exceeds the limit of {0} bytes")]
    TooLarge(usize),
    /// The bodies of other calls take all the room.
    #[error("the bodies of other calls take all the room; retry at another router")]
    NoRoom,
    /// The request was not received in time.
    #[error("the request was not received in time; check the connection and retry")]
    TooSlow,
    /// The call was sent, and whether it ran is not known.
    #[error("the call was sent but got no usable response, and it may have run: {0}")]
    ResponseLost(String),
    /// The call was sent, and no response came before the deadline.
    #[error("no response before the deadline; the call may have run")]
    TimedOut,
}

impl GatewayError {
    /// Why none of a pool's servers takes a call.
    pub fn of_obstacle(obstacle: Obstacle, pool: &PoolName) -> Self {
        let pool = pool.to_string();
        match obstacle {
            Obstacle::Region => GatewayError::NoRegion(pool),
            Obstacle::Evacuated => GatewayError::Evacuated(pool),
            Obstacle::Pause(wait) => GatewayError::ServersBackingOff { pool, wait },
        }
    }

    /// The HTTP status of the error response.
    pub fn status(&self) -> StatusCode {
        match self {
            GatewayError::NoLease | GatewayError::Starting | GatewayError::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            GatewayError::NoServer(_)
            | GatewayError::Evacuated(_)
            | GatewayError::NoRegion(_)
            | GatewayError::ServersBackingOff { .. }
            | GatewayError::ServersLimited { .. }
            | GatewayError::Overloaded { .. }
            | GatewayError::ServersFull
            | GatewayError::NoRoom
            | GatewayError::NoPath(_)
            | GatewayError::Blocked(_)
            | GatewayError::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            GatewayError::PassedOn { status, .. } => *status,
            GatewayError::NoRoute(_) => StatusCode::NOT_FOUND,
            GatewayError::InvalidKey => StatusCode::UNAUTHORIZED,
            GatewayError::Malformed(_) => StatusCode::BAD_REQUEST,
            GatewayError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            GatewayError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            GatewayError::ResponseLost(_) => StatusCode::BAD_GATEWAY,
            GatewayError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may retry; `None` where that would not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            GatewayError::NoLease | GatewayError::Stopping => Some(Duration::from_millis(100)),
            GatewayError::NoServer(_)
            | GatewayError::ServersFull
            | GatewayError::NoRoom
            | GatewayError::NotSentInTime => Some(Duration::from_millis(400)),
            GatewayError::Evacuated(_) | GatewayError::NoRegion(_) => Some(EVACUATED_RETRY_DELAY),
            GatewayError::NoPath(_) => Some(PATH_RETRY_DELAY),
            GatewayError::PassedOn { wait, .. } => *wait,
            GatewayError::ServersBackingOff { wait, .. }
            | GatewayError::ServersLimited { wait, .. }
            | GatewayError::Overloaded { wait, .. } => Some(*wait),
            GatewayError::Starting => Some(Duration::from_secs(1)),
            GatewayError::Blocked(_) => Some(BLOCKED_RETRY_DELAY),
            _ => None,
        }
    }

    /// The error code in logs, metrics and response bodies.
    pub fn code(&self) -> &'static str {
        match self {
            GatewayError::NoLease => "no_lease",
            GatewayError::Starting => "starting",
            GatewayError::Stopping => "stopping",
            GatewayError::NoServer(_) => "no_server",
            GatewayError::Evacuated(_) => "evacuated",
            GatewayError::NoRegion(_) => "no_region",
            GatewayError::ServersBackingOff { .. } => "backoff",
            GatewayError::ServersLimited { .. } => "limited",
            GatewayError::Overloaded { .. } => "overloaded",
            GatewayError::ServersFull => "full",
            GatewayError::NoPath(_) => "no_path",
            GatewayError::PassedOn { .. } => "passed_on",
            GatewayError::NotSentInTime => "late",
            GatewayError::Blocked(Suspect::Part(_)) => "part_blocked",
            GatewayError::Blocked(Suspect::Request(_)) => "request_blocked",
            GatewayError::NoRoute(_) => "no_route",
            GatewayError::InvalidKey => "no_key",
            GatewayError::Malformed(_) => "malformed",
            GatewayError::TooLarge(_) => "too_large",
            GatewayError::NoRoom => "no_room",
            GatewayError::TooSlow => "too_slow",
            GatewayError::ResponseLost(_) => "broken",
            GatewayError::TimedOut => "timed_out",
        }
    }
}
