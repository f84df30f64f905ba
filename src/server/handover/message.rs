//! The messages between two processes of one edge proxy. A message is a kind (one byte) and a number (four
//! bytes in network order); for a connection, as many bytes follow as the number states. The format is fixed,
//! since the processes may be of different versions.

/// Length of a message's header: its kind and its number.
const HEADER_BYTES: usize = 5;
/// Kind of a message whose number is the sender's count of clients' connections.
const KIND_CLIENT_COUNT: u8 = 0;
/// Kind of a message that is sent with a descriptor. Its number is the length of the unprocessed bytes after
/// the header.
const KIND_CONNECTION: u8 = 1;
/// Maximum length of a connection's unprocessed bytes: more than a client's longest frame.
const MAX_UNUSED_BYTES: usize = 1 << 20;

/// A message that has arrived in full.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Message {
    /// The number of clients' connections that the sender holds.
    ClientCount(usize),
    /// A connection is handed over; its descriptor arrives with the message.
    Connection {
        /// Bytes that were read from the connection and not processed.
        unprocessed: Vec<u8>,
    },
}

/// The other process sent bytes that are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed handover message")]
pub(super) struct MalformedMessage;

/// Removes the first message from the bytes that have arrived and returns it; `None` while it is incomplete.
pub(super) fn decode(received: &mut Vec<u8>) -> Result<Option<Message>, MalformedMessage> {
    let Some([kind, number @ ..]) = received.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let number = u32::from_be_bytes(*number) as usize;
    let (is_connection, length) = match *kind {
        KIND_CLIENT_COUNT => (false, 0),
        KIND_CONNECTION if number <= MAX_UNUSED_BYTES => (true, number),
        _ => return Err(MalformedMessage),
    };
    if received.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    let unprocessed = received[HEADER_BYTES..HEADER_BYTES + length].to_vec();
    received.drain(..HEADER_BYTES + length);
    Ok(Some(if is_connection { Message::Connection { unprocessed } } else { Message::ClientCount(number) }))
}

/// Encodes a message with the count of clients' connections.
pub(super) fn client_count(clients: usize) -> [u8; HEADER_BYTES] {
    header(KIND_CLIENT_COUNT, clients)
}

/// Encodes the header of a message that hands a connection over; the unprocessed bytes follow it.
pub(super) fn connection_header(unprocessed: &[u8]) -> [u8; HEADER_BYTES] {
    header(KIND_CONNECTION, unprocessed.len())
}

fn header(kind: u8, number: usize) -> [u8; HEADER_BYTES] {
    let [a, b, c, d] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    [kind, a, b, c, d]
}
