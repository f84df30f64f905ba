//! The handshake of two members: each proves that it holds the federation's key, for this connection alone, and each
//! message after that carries a tag (HMAC-SHA256, RFC 2104; truncated to 16 bytes, RFC 2104 section 5). It
//! authenticates the peer, and the content and order of messages; it encrypts nothing.

use super::MemberId;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of a message's tag.
pub const TAG_BYTES: usize = 16;

/// The federation's key, or one that a connection made of it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// A number that is used once.
pub type Nonce = [u8; 16];

/// The first message, by the listening side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Its nonce.
    pub nonce: Nonce,
}

/// The second message, by the dialling side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The federation's name.
    pub cluster: String,
    /// The federation's identity, 0 while the dialling side does not know it.
    pub identity: u64,
    /// The dialling member.
    pub from: MemberId,
    /// The member that is dialled.
    pub to: MemberId,
    /// The incarnation of the dialling member's store.
    pub incarnation: u64,
    /// Its nonce.
    pub nonce: Nonce,
    /// The proof.
    pub proof: [u8; 32],
}

/// The third message, by the listening side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The proof.
    pub proof: [u8; 32],
}

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Key(bytes)
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.0).unwrap_or_else(|_| unreachable!("any length"));
        for part in parts {
            // Lengths first: no two lists of parts look alike.
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

    /// The dialling side's answer with its proof.
    pub fn sign_hello(&self, challenge: &Challenge, hello: Hello) -> Hello {
        let proof = self.hello_mac(challenge, &hello).finalize().into_bytes().into();
        Hello { proof, ..hello }
    }

    /// Whether the dialling side holds the key.
    pub fn verify_hello(&self, challenge: &Challenge, hello: &Hello) -> bool {
        self.hello_mac(challenge, hello).verify_slice(&hello.proof).is_ok()
    }

    /// The listening side's proof.
    pub fn sign_welcome(&self, challenge: &Challenge, hello: &Hello) -> Welcome {
        let mac = self.mac(&[b"welcome", &challenge.nonce, &hello.nonce]);
        Welcome { proof: mac.finalize().into_bytes().into() }
    }

    /// Whether the listening side holds the key.
    pub fn verify_welcome(&self, challenge: &Challenge, hello: &Hello, welcome: &Welcome) -> bool {
        self.mac(&[b"welcome", &challenge.nonce, &hello.nonce]).verify_slice(&welcome.proof).is_ok()
    }

    /// The seal of one direction of a connection.
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

/// Seals messages of one direction, or checks their seals, each with its place in the order.
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

    /// The tag of the next message.
    pub fn tag(&mut self, message: &[u8]) -> [u8; TAG_BYTES] {
        let whole: [u8; 32] = self.next_mac(message).finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether this is the next message, unchanged.
    pub fn verify(&mut self, message: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.next_mac(message).verify_truncated_left(tag).is_ok()
    }
}
