//! Errors that end an iSCSI session, during login or in the full feature phase.

use super::pdu::PduError;
use thiserror::Error;

/// The reason why an iSCSI session ended.
#[derive(Debug, Error)]
pub enum SessionError {
    /// An I/O error on the connection.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The initiator closed the connection.
    #[error("closed by the initiator")]
    Closed,
    /// A received PDU could not be decoded.
    #[error("PDU: {0}")]
    Pdu(#[from] PduError),
    /// The initiator violated the protocol, or its session was replaced by a new login.
    #[error("protocol error: {0}")]
    Protocol(&'static str),
    /// The login was rejected with this status class and detail.
    #[error("login rejected with status {0:#06x}")]
    Login(u16),
    /// The connection was closed to free its descriptor. `logged_in` tells whether it had a session.
    #[error("closed, since descriptors run short")]
    Reclaimed {
        /// Whether the initiator had completed its login.
        logged_in: bool,
    },
    /// The initiator sent nothing, did not complete its login or did not read within the time limit.
    #[error("initiator timed out")]
    Timeout,
}
