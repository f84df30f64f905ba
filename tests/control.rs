//! Tests of the control service on loopback with stand-in xDS clients that log each received view.
#![cfg(feature = "control")]

use dahliatrack::control::clock::ServiceClock;
use dahliatrack::control::resource::ResourceType;
use dahliatrack::control::service::{ControlError, Running};
use dahliatrack::control::session::Variant;
use dahliatrack::interface::Span;
use dahliatrack::lab::views::{
    drain_delays, find_breaches, ClientEvent, FeedChange, FeedEvent, LogEntry, View,
};
use dahliatrack::lab::xds::{
    log_time, measure, run_client, ClientPlan, ClientState, ClientStream, MeasurePlan, SiteSetup, StartedSite,
};
use dahliatrack::standin::feed::StandInFeed;
use dahliatrack::standin::site::{config, Shape};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Time limit of each wait. A test that exceeds it has failed.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The platform's bound from the announcement of a drain to the last view that holds the cache.
const DRAIN_BOUND: Span = Span::from_secs(1);

const CONTROL: &str =
    "control {\n listen = \"127.0.0.1:0\"\n hot \"piece\" {\n objects = [\"7f3a9c21e0b4d655\"]\n }\n}";

fn name(host: &Value) -> String {
    host["host"].as_str().expect("a name").to_owned()
}

fn caches(hosts: &[Value], point: &str) -> Vec<Value> {
    hosts.iter().filter(|host| host["site"] == point).cloned().collect()
}

fn client_plan(running: &Running, name: &str, point: &str, variant: Variant) -> ClientPlan {
    ClientPlan {
        target: running.addr,
        name: name.into(),
        point: point.into(),
        variant,
        required_server: None,
    }
}

async fn start_site(control: &str, feed: &StandInFeed) -> Result<StartedSite, ControlError> {
    SiteSetup::new(Shape::default(), control, feed).start().await
}

/// Collects the log entries of clients that run in their own tasks.
struct Logs {
    entries: mpsc::UnboundedReceiver<LogEntry>,
    sender: mpsc::UnboundedSender<LogEntry>,
    all: Vec<LogEntry>,
    stop: watch::Sender<bool>,
}

impl Logs {
    fn new() -> Self {
        let (sender, entries) = mpsc::unbounded_channel();
        Logs { entries, sender, all: Vec::new(), stop: watch::channel(false).0 }
    }

    fn start(&self, plan: ClientPlan) {
        tokio::spawn(run_client(plan, self.sender.clone(), self.stop.subscribe()));
    }

    /// Waits until `clients` clients have accepted a last view of the type that matches.
    async fn wait_for_view(
        &mut self,
        resource_type: ResourceType,
        clients: usize,
        matches: impl Fn(&View) -> bool,
    ) {
        loop {
            let mut last: BTreeMap<&str, &View> = BTreeMap::new();
            for entry in &self.all {
                if let ClientEvent::Received(view) = &entry.event {
                    if view.resource_type == resource_type && view.accepted {
                        last.insert(&entry.client, view);
                    }
                }
            }
            if last.values().filter(|view| matches(view)).count() == clients {
                return;
            }
            let entry = timeout(TIMEOUT, self.entries.recv())
                .await
                .expect("a view in time")
                .expect("running clients");
            self.all.push(entry);
        }
    }

    async fn finish(mut self, running: Running) -> Vec<LogEntry> {
        let _ = self.stop.send(true);
        running.stop().await.expect("a clean stop");
        drop(self.sender);
        while let Some(entry) = self.entries.recv().await {
            self.all.push(entry);
        }
        self.all
    }
}

/// Receives and ACKs responses until one of the wanted type arrives. Returns its view.
async fn next_view(stream: &mut ClientStream, state: &mut ClientState, wanted: ResourceType) -> View {
    loop {
        let received = timeout(TIMEOUT, stream.receive(state)).await.expect("a response in time");
        let received = received.expect("no rejection").expect("an open stream");
        state.versions.insert(received.resource_type, received.version.clone());
        stream.ack(&received).await;
        if received.resource_type == wanted {
            return received.view;
        }
    }
}

#[tokio::test]
async fn drains_reach_all_clients_in_bound_and_purges_are_sent() {
    let feed = StandInFeed::default();
    let StartedSite { running, hosts } = start_site(CONTROL, &feed).await.expect("a started service");
    let mut logs = Logs::new();
    for n in 0..24 {
        let variant = [Variant::StateOfTheWorld, Variant::Incremental][n % 2];
        logs.start(client_plan(
            &running,
            &format!("client-{n}"),
            ["north", "south", "east"][n / 2 % 3],
            variant,
        ));
    }
    logs.wait_for_view(ResourceType::Routes, 24, |_| true).await;
    logs.wait_for_view(ResourceType::Endpoints, 24, |_| true).await;
    let mut feed_events = Vec::new();
    for (n, health) in ["draining", "removed", "draining"].into_iter().enumerate() {
        let host = &caches(&hosts, "north")[n];
        let at = log_time();
        feed_events.push(FeedEvent { at, change: FeedChange::ServerUnusable(name(host)) });
        feed.publish_health(host, health);
        logs.wait_for_view(ResourceType::Endpoints, 24, |view| !view.servers.contains(&name(host))).await;
        logs.wait_for_view(ResourceType::Routes, 24, |view| !view.servers.contains(&name(host))).await;
    }
    let ms = log_time().as_micros() / 1000;
    let change = FeedChange::Purged { what: "17".into(), at_ms: ms };
    feed_events.push(FeedEvent { at: log_time(), change });
    feed.publish(json!({"purge": {"group": 17, "at": ms}}));
    logs.wait_for_view(ResourceType::Routes, 24, |view| {
        view.newer_than_ms.get("17").is_some_and(|newer| *newer > ms)
    })
    .await;
    let log = logs.finish(running).await;
    assert_eq!(find_breaches(&log, &feed_events, DRAIN_BOUND), []);
    let delays = drain_delays(&log, &feed_events);
    assert_eq!(delays.len(), 24, "eight clients of the point and three drains");
}

#[tokio::test]
async fn returning_client_never_gets_an_older_view() {
    let feed = StandInFeed::default();
    let StartedSite { running: first, hosts } = start_site(CONTROL, &feed).await.expect("a started service");
    let old = feed.initial_events();
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let cache = &caches(&hosts, "north")[usize::from(variant == Variant::Incremental)];
        let mut state = ClientState::default();
        let mut stream =
            ClientStream::open(&client_plan(&first, "a", "north", variant)).await.expect("a stream");
        stream.subscribe(ResourceType::Endpoints, &state).await;
        assert!(next_view(&mut stream, &mut state, ResourceType::Endpoints)
            .await
            .servers
            .contains(&name(cache)));
        feed.publish_health(cache, "draining");
        assert!(!next_view(&mut stream, &mut state, ResourceType::Endpoints)
            .await
            .servers
            .contains(&name(cache)));
        drop(stream);
        // A second run starts from the old list, and its feed does not answer yet.
        feed.set_silent(true);
        let StartedSite { running: second, .. } =
            SiteSetup { known: Some(old.clone()), ..SiteSetup::new(Shape::default(), CONTROL, &feed) }
                .start()
                .await
                .expect("a started service");
        let mut back =
            ClientStream::open(&client_plan(&second, "a", "north", variant)).await.expect("a stream");
        back.subscribe(ResourceType::Endpoints, &state).await;
        // A client without a version is sent what this run knows, the old view. This shows that the run serves.
        let mut new =
            ClientStream::open(&client_plan(&second, "b", "north", variant)).await.expect("a stream");
        new.subscribe(ResourceType::Endpoints, &ClientState::default()).await;
        assert!(next_view(&mut new, &mut ClientState::default(), ResourceType::Endpoints)
            .await
            .servers
            .contains(&name(cache)));
        assert_eq!(second.metrics.sent.load(Ordering::SeqCst), 1, "{variant:?}: the returning client waits");
        feed.set_silent(false);
        let next = next_view(&mut back, &mut state, ResourceType::Endpoints).await;
        assert!(!next.servers.contains(&name(cache)), "{variant:?}: {next:?}");
        second.stop().await.expect("a clean stop");
    }
    first.stop().await.expect("a clean stop");
}

/// A purge is announced for twelve seconds of the monotonic clock. A step of the wall clock by an hour, forward or
/// back, must not end it, and must not delay the changes that wait to be published.
#[tokio::test]
async fn wall_clock_steps_do_not_affect_purges_or_debounce() {
    const HOUR_S: i64 = 3600;
    for step_s in [HOUR_S, -HOUR_S] {
        let offset_s = Arc::new(AtomicI64::new(0));
        let read_offset = Arc::clone(&offset_s);
        let wall = Arc::new(move || {
            let offset = read_offset.load(Ordering::SeqCst);
            let step = Duration::from_secs(offset.unsigned_abs());
            if offset < 0 {
                SystemTime::now() - step
            } else {
                SystemTime::now() + step
            }
        });
        let clock = ServiceClock::with_wall_clock(wall);
        let feed = StandInFeed::default();
        let setup = SiteSetup { clock, ..SiteSetup::new(Shape::default(), CONTROL, &feed) };
        let StartedSite { running, hosts } = setup.start().await.expect("a started service");
        let cache = &caches(&hosts, "north")[0];
        let mut state = ClientState::default();
        let mut before = ClientStream::open(&client_plan(&running, "before", "north", Variant::Incremental))
            .await
            .expect("a stream");
        before.subscribe(ResourceType::Routes, &state).await;
        before.subscribe(ResourceType::Endpoints, &state).await;
        let ms = log_time().as_micros() / 1000;
        feed.publish(json!({"purge": {"group": 17, "at": ms}}));
        while !next_view(&mut before, &mut state, ResourceType::Routes).await.newer_than_ms.contains_key("17")
        {
        }
        offset_s.store(step_s, Ordering::SeqCst);
        // A drain is published at once, a return after the debounce. A client that connects after both still gets the
        // purge.
        feed.publish_health(cache, "draining");
        while next_view(&mut before, &mut state, ResourceType::Endpoints).await.servers.contains(&name(cache))
        {
        }
        feed.publish_health(cache, "up");
        while !next_view(&mut before, &mut state, ResourceType::Endpoints)
            .await
            .servers
            .contains(&name(cache))
        {}
        let mut after = ClientStream::open(&client_plan(&running, "after", "north", Variant::Incremental))
            .await
            .expect("a stream");
        after.subscribe(ResourceType::Routes, &ClientState::default()).await;
        let routes = next_view(&mut after, &mut ClientState::default(), ResourceType::Routes).await;
        assert_eq!(routes.newer_than_ms.get("17"), Some(&(ms + 1)), "a step of the wall clock by {step_s} s");
        running.stop().await.expect("a clean stop");
    }
}

#[tokio::test]
async fn rejected_view_is_not_resent_but_other_clients_get_it() {
    let feed = StandInFeed::default();
    let StartedSite { running, hosts } = start_site(CONTROL, &feed).await.expect("a started service");
    let north = caches(&hosts, "north");
    let mut logs = Logs::new();
    for (n, variant) in [Variant::StateOfTheWorld, Variant::Incremental].into_iter().enumerate() {
        let required_server = Some(name(&north[0]));
        logs.start(ClientPlan {
            required_server,
            ..client_plan(&running, &format!("picky-{n}"), "north", variant)
        });
        logs.start(client_plan(&running, &format!("plain-{n}"), "north", variant));
    }
    logs.wait_for_view(ResourceType::Endpoints, 4, |_| true).await;
    feed.publish_health(&north[0], "draining");
    logs.wait_for_view(ResourceType::Endpoints, 2, |view| !view.servers.contains(&name(&north[0]))).await;
    while running.metrics.nacks.load(Ordering::SeqCst) < 2 {
        tokio::task::yield_now().await;
    }
    // The clients that rejected the view keep their last accepted one until a different view is sent.
    feed.publish_health(&north[1], "draining");
    logs.wait_for_view(ResourceType::Endpoints, 4, |view| !view.servers.contains(&name(&north[1]))).await;
    assert_eq!(running.metrics.nacks.load(Ordering::SeqCst), 2);
    let log = logs.finish(running).await;
    assert_eq!(find_breaches(&log, &[], DRAIN_BOUND), []);
    let refused =
        log.iter().filter(|entry| matches!(&entry.event, ClientEvent::Received(view) if !view.accepted));
    assert_eq!(refused.count(), 2);
}

#[tokio::test]
async fn rejection_is_remembered_on_the_next_stream() {
    let feed = StandInFeed::default();
    let StartedSite { running, hosts } = start_site(CONTROL, &feed).await.expect("a started service");
    let picky = client_plan(&running, "picky", "north", Variant::StateOfTheWorld);
    let mut first = ClientStream::open(&picky).await.expect("a stream");
    first.subscribe(ResourceType::Endpoints, &ClientState::default()).await;
    let rejected = first.receive(&mut ClientState::default()).await.expect("no rejection").expect("a view");
    first.nack(&rejected, "", "no").await;
    while running.metrics.nacks.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    drop(first);
    let mut back = ClientStream::open(&picky).await.expect("a stream");
    back.subscribe(ResourceType::Endpoints, &ClientState::default()).await;
    // The first view on the new stream is the next one, since the rejected view is not sent again.
    let north = caches(&hosts, "north");
    let mut other_state = ClientState::default();
    let mut other = ClientStream::open(&client_plan(&running, "other", "north", Variant::StateOfTheWorld))
        .await
        .expect("a stream");
    other.subscribe(ResourceType::Endpoints, &other_state).await;
    next_view(&mut other, &mut other_state, ResourceType::Endpoints).await;
    feed.publish_health(&north[0], "draining");
    let newer = next_view(&mut other, &mut other_state, ResourceType::Endpoints).await;
    let got = next_view(&mut back, &mut ClientState::default(), ResourceType::Endpoints).await;
    assert_eq!((&got.version, got.servers.contains(&name(&north[0]))), (&newer.version, false));
    running.stop().await.expect("a clean stop");
}

#[tokio::test]
async fn unanswering_client_costs_one_response_then_gets_newest() {
    let feed = StandInFeed::default();
    let StartedSite { running, hosts } = start_site(CONTROL, &feed).await.expect("a started service");
    let mut state = ClientState::default();
    let mut other_state = ClientState::default();
    let mut slow = ClientStream::open(&client_plan(&running, "slow", "north", Variant::StateOfTheWorld))
        .await
        .expect("a stream");
    slow.subscribe(ResourceType::Endpoints, &state).await;
    let unanswered = slow.receive(&mut state).await.expect("no rejection").expect("a view");
    let mut other = ClientStream::open(&client_plan(&running, "other", "north", Variant::StateOfTheWorld))
        .await
        .expect("a stream");
    other.subscribe(ResourceType::Endpoints, &other_state).await;
    let mut newest = next_view(&mut other, &mut other_state, ResourceType::Endpoints).await;
    let north = caches(&hosts, "north");
    for n in 0..12 {
        let host = &north[n % 3];
        let gone = n / 3 % 2 == 0;
        feed.publish_health(host, if gone { "draining" } else { "up" });
        while newest.servers.contains(&name(host)) == gone {
            newest = next_view(&mut other, &mut other_state, ResourceType::Endpoints).await;
        }
    }
    assert_eq!(running.metrics.clients.load(Ordering::SeqCst), 2);
    slow.ack(&unanswered).await;
    let caught_up = next_view(&mut slow, &mut state, ResourceType::Endpoints).await;
    assert_eq!(
        (caught_up.version, caught_up.servers),
        (newest.version, newest.servers),
        "none of the versions in between is sent"
    );
    running.stop().await.expect("a clean stop");
}

#[tokio::test]
async fn refused_streams_get_a_reason_and_affect_no_other() {
    let feed = StandInFeed::default();
    let control = "control {\n listen = \"127.0.0.1:0\"\n most_clients = 2\n}";
    let StartedSite { running, hosts } = start_site(control, &feed).await.expect("a started service");
    let good = client_plan(&running, "good", "north", Variant::Incremental);
    let mut state = ClientState::default();
    let mut stream = ClientStream::open(&good).await.expect("a stream");
    stream.subscribe(ResourceType::Endpoints, &state).await;
    next_view(&mut stream, &mut state, ResourceType::Endpoints).await;
    for (point, wanted) in
        [("nroth", "did you mean \"north\"?"), ("castle", "no point"), ("", "names no point")]
    {
        let lost = ClientPlan { point: point.into(), ..good.clone() };
        let mut lost = ClientStream::open(&lost).await.expect("a stream");
        lost.subscribe(ResourceType::Routes, &ClientState::default()).await;
        let status = timeout(TIMEOUT, lost.receive(&mut ClientState::default()))
            .await
            .expect("an answer")
            .expect_err("a refused stream");
        assert_eq!(status.code(), tonic::Code::InvalidArgument, "{point:?}: {status:?}");
        assert!(status.message().contains(wanted), "{point:?}: {status:?}");
        // The stream stops counting towards the limit when its end is noticed.
        while running.metrics.clients.load(Ordering::SeqCst) > 1 {
            tokio::task::yield_now().await;
        }
    }
    let second = ClientStream::open(&good).await.expect("a stream within the limit");
    let full = ClientStream::open(&good).await.err().expect("a stream over the limit is refused");
    assert_eq!(full.code(), tonic::Code::ResourceExhausted, "{full:?}");
    drop(second);
    feed.publish_health(&caches(&hosts, "north")[0], "draining");
    let next = next_view(&mut stream, &mut state, ResourceType::Endpoints).await;
    assert!(!next.servers.contains(&name(&caches(&hosts, "north")[0])));
    running.stop().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn thousand_clients_get_drains_within_the_bound() {
    let shape = Shape { points: 10, proxies: 10, caches: 60, ..Shape::default() };
    let plan = MeasurePlan { clients: 1000, shape, drains: 3, timeout: TIMEOUT };
    let measured = measure(&plan).await.expect("measured");
    assert_eq!(measured.ready_clients, 1000, "{measured}");
    assert_eq!((measured.last_client.len(), measured.each_client.len()), (3, 300), "{measured}");
    assert_eq!(measured.breaches, [], "{measured}");
}

/// Runs the program: on SIGHUP an invalid file changes nothing and a valid one is applied; SIGTERM ends the program.
#[test]
fn program_reloads_on_sighup_and_stops_on_sigterm() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("control-signals");
    std::fs::create_dir_all(&folder).expect("a folder");
    let feed = StandInFeed::default().serve().expect("a port");
    let site = config(&Shape::default(), &feed.to_string(), |n| format!("127.0.0.1:{}", 10 + n));
    let (config, control) = (folder.join("config.json"), folder.join("control.hcl"));
    std::fs::write(&config, site.to_string()).expect("a file");
    std::fs::write(&control, CONTROL).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_dahliatrack"))
        .args(["control", "--config"])
        .arg(&config)
        .arg("--control")
        .arg(&control)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut lines = lines.map_while(Result::ok);
    let pid = child.id().to_string();
    let signal =
        |name: &str| assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    let mut logged = |words: &str| {
        lines.find(|line| line.contains(words)).expect("the line is logged before the program ends")
    };
    logged("control listens on 127.0.0.1:");
    std::fs::write(&control, CONTROL.replace("piece", "peice")).expect("a file");
    signal("-HUP");
    assert!(logged("the previous settings stay in effect")
        .contains("no class \"peice\"; did you mean \"piece\"?"));
    std::fs::write(&control, CONTROL.replace("control {", "control {\n colour = 1")).expect("a file");
    signal("-HUP");
    assert!(logged("the previous settings stay in effect").contains("control.hcl:2:2: no key \"colour\""));
    std::fs::write(&control, CONTROL).expect("a file");
    signal("-HUP");
    logged("reloaded: 1 hot classes");
    signal("-TERM");
    logged("stopped");
    assert_eq!(child.wait().expect("an exit status").code(), Some(0));
    let bad = Command::new(env!("CARGO_BIN_EXE_dahliatrack"))
        .args(["control", "--config"])
        .arg(&config)
        .args(["--control", "/nowhere.hcl"])
        .output()
        .expect("the program starts");
    assert_eq!(bad.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&bad.stderr).contains("/nowhere.hcl"));
}
