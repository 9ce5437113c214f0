//! Why a session ends, whether in its login or afterwards.

use super::pdu::PduError;
use thiserror::Error;

/// Why a session ended.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The connection broke or was closed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The initiator closed it.
    #[error("closed by the initiator")]
    Closed,
    /// Bytes that are no PDU.
    #[error("PDU: {0}")]
    Pdu(#[from] PduError),
    /// A PDU that has no place here.
    #[error("protocol error: {0}")]
    Protocol(&'static str),
    /// The login was turned down.
    #[error("login turned down with status {0:#06x}")]
    Login(u16),
    /// Nothing came, or nothing was read, in time.
    #[error("silent")]
    Silent,
}
