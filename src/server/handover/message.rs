//! The messages between two processes of one edge proxy: a kind, a number in four bytes in network order, and for a
//! connection as many bytes as the number says. The form is fixed, since the processes may be of different versions.

/// Bytes of a message's header: its kind and its number.
const HEADER_BYTES: usize = 5;
/// Kind of a message whose number is the sender's count of clients' connections.
const KIND_CLIENT_COUNT: u8 = 0;
/// Kind of a message that comes with a descriptor; the number is the length of the unused bytes behind the header.
const KIND_CONNECTION: u8 = 1;
/// Longest unused bytes of a connection: more than a client's longest frame.
const MAX_UNUSED_BYTES: usize = 1 << 20;

/// A message that has arrived in full.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Message {
    /// The sender holds so many clients' connections.
    ClientCount(usize),
    /// A connection is passed on; its descriptor arrives beside the message.
    Connection {
        /// Bytes that were read from the connection and not used.
        unused: Vec<u8>,
    },
}

/// The other process sent bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message of a process of this edge proxy")]
pub(super) struct MalformedMessage;

/// Takes the first message out of the bytes that have arrived; `None` while it is incomplete.
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
    let unused = received[HEADER_BYTES..HEADER_BYTES + length].to_vec();
    received.drain(..HEADER_BYTES + length);
    Ok(Some(if is_connection { Message::Connection { unused } } else { Message::ClientCount(number) }))
}

/// The message with a count of clients' connections.
pub(super) fn client_count(clients: usize) -> [u8; HEADER_BYTES] {
    header(KIND_CLIENT_COUNT, clients)
}

/// The header of the message that passes a connection on; its unused bytes follow.
pub(super) fn connection_header(unused: &[u8]) -> [u8; HEADER_BYTES] {
    header(KIND_CONNECTION, unused.len())
}

fn header(kind: u8, number: usize) -> [u8; HEADER_BYTES] {
    let [a, b, c, d] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    [kind, a, b, c, d]
}
