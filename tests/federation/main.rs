//! Tests of federations of whole processes on loopback, with faults.
//!
//! The members of each pair are connected through a relay of the tests, which injects network faults.
//! Processes are stopped, continued, terminated and killed by their process id. The system chooses the ports.
//! Tests wait for conditions that the program reports in its log or on its admin endpoint.
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
