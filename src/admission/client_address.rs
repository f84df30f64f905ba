//! Where a connection comes from: its address and the prefix that the address belongs to.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// How many leading bits of an address make its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PrefixLengths {
    pub v4: u8,
    pub v6: u8,
}

/// A client's address, with its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientAddress {
    pub address: IpAddr,
    pub prefix: IpAddr,
}

impl ClientAddress {
    /// The origin of an address. An IPv4-mapped IPv6 address counts as the IPv4 one.
    pub(super) fn new(address: IpAddr, lengths: PrefixLengths) -> Self {
        let address = canonical(address);
        ClientAddress { address, prefix: prefix(address, lengths) }
    }
}

/// An IPv4-mapped IPv6 address as IPv4; any other as it is.
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
