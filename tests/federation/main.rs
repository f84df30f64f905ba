//! Federations of whole programs on loopback, with faults between them: each pair of members is joined by a relay of
//! the tests' own, and processes are stopped, woken, ended and killed by their id. Ports are the system's choice; what
//! is waited for is told by the program, on its log or its admin endpoint.
#![cfg(feature = "federation")]

mod crashes;
mod duties;
mod log;
mod members;
mod relay;
#[allow(dead_code)]
mod rig;
#[allow(dead_code)]
#[path = "../sockets/stand_ins.rs"]
mod stand_ins;
