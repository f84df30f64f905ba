//! A replay's report: a table for the terminal, and a page with plots (minijinja).

use super::replay::Report;
use std::fmt;

impl Report {
    /// The page.
    ///
    /// # Errors
    ///
    /// The template does not fit the report, which is a defect.
    pub fn html(&self) -> Result<String, minijinja::Error> {
        let mut templates = minijinja::Environment::new();
        templates.add_filter("format", |form: &str, value: f64| -> String {
            let places =
                form.trim_end_matches('f').rsplit('.').next().and_then(|n| n.parse().ok()).unwrap_or(1);
            let sign = if form.contains('+') && value >= 0.0 { "+" } else { "" };
            format!("{sign}{value:.places$}")
        });
        templates.add_template("report.html", include_str!("report.html"))?;
        let mut value = serde_json::json!(self);
        let most_sent = self.moments.iter().map(|moment| moment.sent).max().unwrap_or(0).max(1);
        let most_ms = self.moments.iter().map(|moment| moment.slowest_ms).fold(1.0, f64::max);
        value["most_sent"] = most_sent.into();
        value["most_ms"] = most_ms.into();
        value["length_s"] = (self.trace_s / self.speed).into();
        templates.get_template("report.html")?.render(minijinja::value::Serde(&value))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{:.0} s of the trace in {:.1} s, {} times as fast, {} slices",
            self.trace_s, self.took_s, self.speed, self.slices
        )?;
        writeln!(f, "{}", self.rows)?;
        writeln!(
            f,
            "{:<10} {:>8} {:>8} {:>8} {:>8} {:>7} {:>10} {:>8} {:>8} {:>7} {:>10}",
            "class",
            "sent",
            "served",
            "on time",
            "refused",
            "failed",
            "unanswered",
            "p50 ms",
            "p99 ms",
            "worth",
            "rate error"
        )?;
        for class in &self.classes {
            let worth = if class.worth[1] > 0.0 { class.worth[0] / class.worth[1] } else { 0.0 };
            writeln!(
                f,
                "{:<10} {:>8} {:>8} {:>8} {:>8} {:>7} {:>10} {:>8.1} {:>8.1} {:>7.4} {:>+9.2}%",
                class.class,
                class.sent,
                class.served,
                class.on_time,
                class.refused,
                class.failed,
                class.unanswered,
                class.p50_ms,
                class.p99_ms,
                worth,
                100.0 * class.rate.2
            )?;
        }
        for fault in &self.faults {
            writeln!(f, "fault at {fault}")?;
        }
        let (fetches, fills) = self.upstream;
        write!(
            f,
            "{fetches} requests reached the hosts, {fills} needed a fill; sent at most {:.1} ms late",
            self.behind_ms
        )
    }
}
