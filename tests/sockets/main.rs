//! The program on real sockets: one test for each rule, with clients and servers written here.

mod admission;
mod crossings;
mod links;
mod operators;
mod platform;
mod stand_ins;
mod upgrade;
