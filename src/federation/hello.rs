//! The handshake between two members. Each side proves that it holds the federation's key; nonces make the
//! proof valid for this connection only. Every later message carries a tag (HMAC-SHA256, RFC 2104; truncated
//! to 16 bytes, RFC 2104 section 5).
//!
//! This authenticates the peer, and the content and order of messages. Nothing is encrypted.

use super::MemberId;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of a message's tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// The federation's shared key, or a key derived from it for one direction of a connection.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// A random number that is used for one connection only.
pub type Nonce = [u8; 16];

/// The first message of the handshake, sent by the listening side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Nonce of the listening side.
    pub nonce: Nonce,
}

/// The second message of the handshake, sent by the dialling side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the federation.
    pub cluster: String,
    /// Identity of the federation, 0 while the dialling side does not know it.
    pub identity: u64,
    /// The dialling member.
    pub from: MemberId,
    /// The member that the dialling side wants to reach.
    pub to: MemberId,
    /// Incarnation of the dialling member's store.
    pub incarnation: u64,
    /// Nonce of the dialling side.
    pub nonce: Nonce,
    /// HMAC of all other fields and the challenge's nonce; see [`Key::sign_hello`].
    pub proof: [u8; 32],
}

/// The third message of the handshake, sent by the listening side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// HMAC of both nonces; see [`Key::sign_welcome`].
    pub proof: [u8; 32],
}

impl Key {
    /// Creates a key from the secret's bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Key(bytes)
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.0).unwrap_or_else(|_| unreachable!("any length"));
        for part in parts {
            // The length goes first, so that different lists of parts never give the same input.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    fn hello_mac(&self, challenge: &Challenge, hello: &Hello) -> Hmac<Sha256> {
        let numbers =
            [hello.identity, hello.from.0, hello.to.0, hello.incarnation].map(u64::to_be_bytes).concat();
        self.mac(&[b"hello", hello.cluster.as_bytes(), &numbers, &challenge.nonce, &hello.nonce])
    }

    /// Returns `hello` with the proof of the dialling side filled in.
    pub fn sign_hello(&self, challenge: &Challenge, hello: Hello) -> Hello {
        let proof = self.hello_mac(challenge, &hello).finalize().into_bytes().into();
        Hello { proof, ..hello }
    }

    /// Whether the hello's proof is correct, so that the dialling side holds the key.
    pub fn verify_hello(&self, challenge: &Challenge, hello: &Hello) -> bool {
        self.hello_mac(challenge, hello).verify_slice(&hello.proof).is_ok()
    }

    /// Returns the welcome with the proof of the listening side.
    pub fn sign_welcome(&self, challenge: &Challenge, hello: &Hello) -> Welcome {
        let mac = self.mac(&[b"welcome", &challenge.nonce, &hello.nonce]);
        Welcome { proof: mac.finalize().into_bytes().into() }
    }

    /// Whether the welcome's proof is correct, so that the listening side holds the key.
    pub fn verify_welcome(&self, challenge: &Challenge, hello: &Hello, welcome: &Welcome) -> bool {
        self.mac(&[b"welcome", &challenge.nonce, &hello.nonce]).verify_slice(&welcome.proof).is_ok()
    }

    /// Returns the authenticator for one direction of a connection, with a key derived for that direction.
    pub fn message_authenticator(
        &self,
        challenge: &Challenge,
        hello: &Hello,
        from_dialler: bool,
    ) -> MessageAuthenticator {
        let direction: &[u8] = if from_dialler { b"out" } else { b"back" };
        let key = self.mac(&[b"session", direction, &challenge.nonce, &hello.nonce]).finalize().into_bytes();
        MessageAuthenticator { key: Key(key.to_vec()), count: 0 }
    }
}

/// Computes or verifies the tags of the messages of one direction. A tag covers the message and its sequence
/// number, so that repeated, missing and reordered messages are detected.
#[derive(Debug)]
pub struct MessageAuthenticator {
    key: Key,
    count: u64,
}

impl MessageAuthenticator {
    fn next_mac(&mut self, message: &[u8]) -> Hmac<Sha256> {
        self.count += 1;
        self.key.mac(&[&self.count.to_be_bytes(), message])
    }

    /// Returns the tag of the next message to send.
    pub fn tag(&mut self, message: &[u8]) -> [u8; TAG_BYTES] {
        let whole: [u8; 32] = self.next_mac(message).finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` belongs to `message` as the next message received.
    pub fn verify(&mut self, message: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.next_mac(message).verify_truncated_left(tag).is_ok()
    }
}
