//! Samphireshift: a model-aware router for model versions and cascades.
//!
//! This library is shared by the daemon (`samphireshiftd`) and the command-line tool
//! (`samphireshift`). Its folders are layers; each uses only those listed before it: `name`,
//! `settings`, `event`, `storage`, `consensus`, `control`, `check`, `ledger`, `policy`, `group`,
//! `distribution`, `peer`, `backend` and `held`, `vms`, `route`, the HTTP servers `caller` and
//! `operator`, and `gateway`, the router for configured routes.

pub mod backend;
pub mod caller;
pub mod check;
pub mod cli;
pub mod connection_end;
pub mod consensus;
pub mod control;
pub mod daemon;
pub mod distribution;
pub mod error;
pub mod event;
pub mod exit_codes;
pub mod gateway;
pub mod group;
pub mod held_answers;
pub mod inbound;
pub mod ledger;
pub mod listener;
pub mod name;
pub mod non_blocking_stdout;
pub mod operator;
pub mod peer;
pub mod policy;
pub mod route;
pub mod seeds;
pub mod settings;
pub mod signals;
pub mod status_server;
pub mod storage;
pub mod vms;
