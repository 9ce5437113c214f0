//! The block front: an iSCSI target (RFC 7143, and the status qualifier of RFC 7144) over the same core.
//!
//! A subset in the standard's terms: one portal, one connection a session, recovery level 0, no
//! authentication, immediate and solicited data. One SCSI command is one request within one extent.

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

pub use shared::BlockFrontend;
