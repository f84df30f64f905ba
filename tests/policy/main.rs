//! Tests of the decision module through its public interface, without the simulator.

mod fetch_limit;
mod fill_sources;
mod golden;
mod home_cache;
mod idempotency;
mod popular_directory;
mod server_health;
mod slow_start;
mod support;
