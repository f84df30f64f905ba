//! Prints a report as a table for the terminal, or as an HTML page with plots (minijinja).

use super::report::{ClassResults, Report};
use crate::lab::hosts::HostCounts;
use std::fmt;

impl Report {
    /// Returns the report as an HTML page.
    ///
    /// # Errors
    ///
    /// Returns an error if the template does not fit the report, which is a bug.
    pub fn to_html(&self) -> Result<String, minijinja::Error> {
        let mut templates = minijinja::Environment::new();
        templates.add_filter("format", format_number);
        templates.add_template("report.html", include_str!("report.html"))?;
        let mut value = serde_json::json!(self);
        let max_sent = self.moments.iter().map(|moment| moment.sent).max().unwrap_or(0).max(1);
        let max_ms = self.moments.iter().map(|moment| moment.slowest_ms).fold(1.0, f64::max);
        value["max_sent"] = max_sent.into();
        value["max_ms"] = max_ms.into();
        value["length_s"] = (self.trace_s / self.speed).into();
        templates.get_template("report.html")?.render(minijinja::value::Serde(&value))
    }
}

/// The page's filter for numbers, for formats such as `%.2f` and `%+.1f`. A format that gives no decimal
/// places has one.
fn format_number(form: &str, value: f64) -> String {
    let places = form.trim_end_matches('f').rsplit('.').next().and_then(|places| places.parse().ok());
    let places = places.unwrap_or(1);
    let sign = if form.contains('+') && value >= 0.0 { "+" } else { "" };
    format!("{sign}{value:.places$}")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (trace_s, took_s, speed, slices) = (self.trace_s, self.took_s, self.speed, self.slices);
        writeln!(f, "{trace_s:.0} s of the trace in {took_s:.1} s, {speed} times as fast, {slices} slices")?;
        writeln!(f, "{}", self.rows)?;
        write_header(f)?;
        for class in &self.classes {
            write_class(f, class)?;
        }
        for fault in &self.faults {
            writeln!(f, "fault at {fault}")?;
        }
        let HostCounts { requests, fills } = self.host_counts;
        let late_ms = self.max_lateness_ms;
        write!(
            f,
            "{requests} requests reached the hosts, {fills} needed a fill; sent at most {late_ms:.1} ms late"
        )
    }
}

fn write_header(f: &mut fmt::Formatter) -> fmt::Result {
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
    )
}

fn write_class(f: &mut fmt::Formatter, class: &ClassResults) -> fmt::Result {
    writeln!(
        f,
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>7} {:>10} {:>8.1} {:>8.1} {:>7.4} {:>+9.2}%",
        class.class,
        class.sent,
        class.served,
        class.on_time,
        class.rejected,
        class.failed,
        class.unanswered,
        class.p50_ms,
        class.p99_ms,
        class.value.earned_share(),
        100.0 * class.rate.error
    )
}
