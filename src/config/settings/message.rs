//! The settings message as it is written in JSON. Fields are named as in the message; all times are in milliseconds.

use serde::Deserialize;

const DEFAULT_CONNECTION_IDLE_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 400.0;
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;

/// The whole settings message.
#[derive(Deserialize)]
pub(super) struct SettingsMessage {
    pub balancers: u32,
    pub discovery: String,
    pub domain: DomainMessage,
    pub grades: Vec<ClassMessage>,
    pub limits: LimitsMessage,
    pub my_zone: u16,
    pub ordinal: u32,
    pub rules: RulesMessage,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub skus: Vec<String>,
    #[serde(default)]
    pub failure_domains: Vec<String>,
    #[serde(default)]
    pub report: ReportMessage,
}

/// The form of the load report that servers send.
#[derive(Default, Deserialize)]
pub(super) struct ReportMessage {
    #[serde(default)]
    pub names: Vec<String>,
}

/// The two-tier cache: its zones, its fill sources, and the caching rules of each class.
#[derive(Deserialize)]
pub(super) struct DomainMessage {
    pub class_grace: Vec<f64>,
    pub collapses: bool,
    pub count_by_zone: Vec<u32>,
    pub fresh_for: Vec<f64>,
    pub goes_through: Vec<bool>,
    pub hub_by_zone: Vec<u16>,
    pub lateral: String,
    pub pace_kb_per_s: f64,
    pub parent_cold: f64,
    pub parent_floor: f64,
    pub pipe_kb_per_s: Vec<f64>,
    pub purge_grace: f64,
    pub purge_settles: f64,
    pub root_kind: u16,
    pub second_tier_kind: i32,
    pub straight: bool,
    pub tells: String,
    pub upper_fall_multiple: f64,
}

/// A class of requests.
#[derive(Deserialize)]
pub(super) struct ClassMessage {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline: f64,
    pub dedup_scope: String,
    pub effect: String,
    pub target: f64,
    pub window: f64,
    pub points: f64,
}

/// What the site permits a router.
#[derive(Deserialize)]
pub(super) struct LimitsMessage {
    pub cancel: bool,
    pub max_attempts: u32,
    pub max_retry_after: f64,
    pub may_probe: bool,
    pub parallel_tries: bool,
    pub peer_messages: bool,
    pub retry_after: bool,
    #[serde(default = "default_connection_idle_ms")]
    pub conn_idle: f64,
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout: f64,
    #[serde(default = "default_streams_per_connection")]
    pub streams_per_conn: usize,
    #[serde(default = "default_max_open_requests")]
    pub most_held: usize,
}

/// How servers behave under overload and after their start.
#[derive(Deserialize)]
pub(super) struct RulesMessage {
    pub ask_within: f64,
    pub cold_share: f64,
    pub fall_multiple: f64,
    pub overload_for: f64,
    pub warm_after: f64,
}

fn default_connection_idle_ms() -> f64 {
    DEFAULT_CONNECTION_IDLE_MS
}

fn default_connect_timeout_ms() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_streams_per_connection() -> usize {
    DEFAULT_STREAMS_PER_CONNECTION
}

fn default_max_open_requests() -> usize {
    DEFAULT_MAX_OPEN_REQUESTS
}
