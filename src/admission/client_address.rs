//! The address of a client, with the prefix that the address belongs to.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Lengths of prefixes, in bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PrefixLengths {
    pub v4: u8,
    pub v6: u8,
}

/// The address of a client in canonical form, with its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientAddress {
    pub address: IpAddr,
    pub prefix: IpAddr,
}

impl ClientAddress {
    /// Returns the canonical form of an address, with its prefix. An IPv4-mapped IPv6 address becomes the
    /// IPv4 address.
    pub(super) fn new(address: IpAddr, lengths: PrefixLengths) -> Self {
        let address = canonical(address);
        ClientAddress { address, prefix: prefix(address, lengths) }
    }
}

/// Converts an IPv4-mapped IPv6 address to IPv4, and returns any other address unchanged.
pub(super) fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

fn prefix(address: IpAddr, lengths: PrefixLengths) -> IpAddr {
    match address {
        IpAddr::V4(v4) => {
            let mask = u32::MAX.checked_shl(u32::BITS - u32::from(lengths.v4)).unwrap_or(0);
            IpAddr::V4(Ipv4Addr::from(u32::from(v4) & mask))
        }
        IpAddr::V6(v6) => {
            let mask = u128::MAX.checked_shl(u128::BITS - u32::from(lengths.v6)).unwrap_or(0);
            IpAddr::V6(Ipv6Addr::from(u128::from(v6) & mask))
        }
    }
}
