//! Block frontend: an iSCSI target (RFC 7143, with the status qualifier of RFC 7144) that shares the request core
//! with the HTTP frontends.
//!
//! Supports one portal, one connection per session, error recovery level 0, no authentication, and immediate and
//! solicited data. Each SCSI read or write becomes one request to the core, within one extent.

pub mod config;
pub mod connection;
pub mod error;
mod listener;
pub mod login;
pub mod pdu;
pub mod registry;
pub mod scsi;
pub mod session;
mod shared;

pub use shared::{BlockFrontend, BlockResources};
