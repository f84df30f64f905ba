//! The site of a run and its requests, drawn from the seed.

use super::*;

impl<'a> World<'a> {
    pub(super) fn new(plan: &'a Plan, seed: u64, sabotage: Option<Sabotage>) -> Self {
        let shape =
            Shape { points: 1, proxies: 1, caches: plan.caches, hubs: 1, parents: plan.parents, seed };
        let mut base = config(&shape, &address(FEED).to_string(), |n| address(n as u16).to_string());
        base["listen"] = address(FRONT).to_string().into();
        base["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 128});
        // A second `result` is a second effect.
        base["settings"]["grades"][3]["effect"] = "side_effect".into();
        let mut first = base["known"]["events"][0].clone();
        let hosts = &mut first["members"]["hosts"];
        let link = |entry: &Value| entry["share"].as_f64().unwrap_or(1.0);
        let links: Vec<f64> = hosts.as_array().into_iter().flatten().map(link).collect();
        let customer = Customer::draw(seed);
        customer.word(&mut base["settings"], hosts);
        let mut window = customer.keyed_writes.then_some(Span::from_millis(WINDOW_MS));
        match sabotage {
            Some(Sabotage::ResultTwice) => {
                base["settings"]["grades"][3]["effect"] = "pure".into();
                window = None;
            }
            Some(Sabotage::LongWindow) => base["settings"]["grades"][3]["window"] = json!(60_000),
            _ => {}
        }
        let entries = hosts.as_array().cloned().unwrap_or_default();
        let fabric = Fabric::new(START, seed ^ 0x5eed, DELAYS.0..=DELAYS.1);
        if sabotage == Some(Sabotage::WallDeadlines) {
            fabric.run_deadlines_on_wall_clock();
        }
        let mut world = World {
            plan,
            sabotage,
            seed,
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            count: 0,
            calls: Vec::new(),
            clients: (0..plan.clients).map(|_| Client::default()).collect(),
            fleet: Fleet { sparse_notes: customer.sparse_notes, ..Fleet::default() },
            numbers: BTreeMap::new(),
            feed: FeedHost::default(),
            base,
            servers: BTreeMap::new(),
            processes: 0,
            terminated: BTreeMap::new(),
            killed: BTreeSet::new(),
            exhausted: (Instant::ZERO, Instant::ZERO),
            rules: Rules::new(START).with_window(window),
            answers: [0; 4],
            over: false,
            fabric,
        };
        for (n, entry) in entries.into_iter().enumerate() {
            let tier = match n {
                n if n < plan.caches => Tier::Cache,
                n if n < plan.caches + plan.parents => Tier::Parent,
                _ => Tier::Origin,
            };
            world.fabric.set_reach(address(n as u16), HostBehaviour::Up);
            world.numbers.insert(address(n as u16), n);
            let name = entry["host"].as_str().unwrap_or_default().to_owned();
            world.fleet.hosts.push(Host { link: links[n], ..Host::new(&name, tier, entry) });
        }
        world.fabric.set_reach(address(FEED), HostBehaviour::Up);
        world.feed.events.push(first);
        world.draw_calls();
        world.start();
        let end = START + Span::from_millis(plan.ms) + Span::from_secs(1);
        world.schedule(end, Event::TerminateAll);
        world
    }
}

impl World<'_> {
    pub(super) fn draw_calls(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(2);
        for n in 0..self.plan.requests {
            let at = START + Span::from_millis(random.random_range(50..self.plan.ms.max(51)));
            let (class, deadline) = [("piece", 900), ("replay", 4500), ("standing", 1800), ("result", 2400)]
                [[0, 0, 0, 1, 2, 3, 3][random.random_range(0..7)]];
            // Squared: a few objects are asked for again and again.
            let part = random.random_range(0.0..1.0_f64);
            let object = (part * part * self.plan.objects as f64) as u64;
            self.calls.push(Call {
                client: random.random_range(0..self.plan.clients),
                class,
                object: format!("{:016x}", 0xab00 + object),
                part: random.random_range(0..2),
                patience: Span::from_millis(random.random_range(200..=deadline)),
                trace: format!("{:016x}", (self.seed << 20) + n as u64),
                abort: (random.random_range(0..20) == 0)
                    .then(|| Span::from_millis(random.random_range(1..200))),
            });
            self.schedule(at, Event::Call(n));
        }
    }
}
