//! Samphireshift: a model-aware router for model versions and cascades.
//!
//! The library holds everything that the daemon (`samphireshiftd`) and the command-line tool
//! (`samphireshift`) share. Folders are layers; each uses only those named before it:
//! `name`, `settings`, `event`, `storage`, `consensus`, `control`, `ledger`, `policy`, `group`,
//! `peer`, `backend`, `vms`, `route`, the two HTTP fronts `caller` and `operator`, and `gateway`, the
//! router of configured routes.

pub mod backend;
pub mod caller;
pub mod cli;
pub mod consensus;
pub mod control;
pub mod daemon;
pub mod error;
pub mod event;
pub mod exit_codes;
pub mod gateway;
pub mod group;
pub mod ledger;
pub mod log_pipe;
pub mod name;
pub mod operator;
pub mod peer;
pub mod policy;
pub mod route;
pub mod settings;
pub mod signals;
pub mod status_front;
pub mod storage;
pub mod vms;
