//! Tests of reading traces from files: formats, unusable rows, order, sampling, and errors of maps.

use super::counts::SkippedRows;
use super::sample::{RateComparison, ALL};
use super::*;
use std::collections::BTreeMap;
use std::path::PathBuf;

fn file(name: &str, text: &[u8]) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("dahliatrack-trace-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn read(name: &str, text: &[u8], map: &str) -> Result<Trace, String> {
    load(&file(name, text), HclDocument { file: "map.hcl", text: map }).map_err(|error| error.to_string())
}

/// Returns the times of the requests, in microseconds.
fn times(trace: &Trace) -> Vec<i64> {
    trace.requests.iter().map(|request| request.at.as_micros()).collect()
}

const AZURE: &str = "trace {\n format = \"azure-functions-2021\"\n class \"piece\" {}\n}";

#[test]
fn published_formats_are_read_by_their_columns() {
    // The rows are sorted by end time, so their start times are not in order: 1.0, 0.5, 3.0 s.
    let azure = b"app,func,end_timestamp,duration\na,f,2.0,1.0\na,g,2.5,2.0\nb,f,4.0,1.0\n";
    let trace = read("azure.csv", azure, AZURE).expect("the trace is usable");
    assert_eq!((times(&trace), trace.counts.reordered), (vec![0, 500_000, 2_500_000], 1));
    let [a, b, c] = &trace.requests[..] else { panic!("the trace has three requests") };
    assert!(a.object != b.object && b.object != c.object);
    let google = b"0,,1,0,,0,u,2,9,0.1,0.1,0,0\n600000000,,1,0,,0,u,2,9,0.1,0.1,0,0\n600000001,,1,0,7,1,u,2,9,0.1,0.1,0,0\n\
        9223372036854775807,,3,0,,0,u,0,1,,,,\n700000000,,2,0,,0,u,0,1,,,,\n";
    let classes = "class \"result\" {\n column = \"scheduling_class\"\n from = 2\n }\n class \"piece\" {}";
    let trace = read(
        "google.csv",
        google,
        &format!("trace {{\n window_s = 1000\n format = \"google-2011-task-events\"\n {classes}\n}}"),
    );
    let trace = trace.expect("the trace is usable");
    assert_eq!((trace.counts.rows, trace.counts.used, trace.counts.filtered), (5, 3, 1));
    let skipped = SkippedRows { rows: 1, first_reason: "line 4: out of range".to_owned() };
    assert_eq!(trace.counts.skipped["time"], skipped);
    assert_eq!(trace.requests.iter().map(|r| r.class).collect::<Vec<_>>(), [0, 0, 1]);
    let alibaba = b"t1,1,j1,1,Terminated,100,200,100,0.5\nt1,1,j1,1,Terminated,101,200,100,0.5\n";
    let trace =
        read("alibaba.csv", alibaba, &AZURE.replace("azure-functions-2021", "alibaba-2018-batch-task"));
    let trace = trace.expect("the trace is usable");
    assert_eq!(
        (times(&trace), trace.requests[0].object == trace.requests[1].object),
        (vec![0, 1_000_000], true)
    );
}

#[test]
fn unusable_rows_are_skipped_and_counted_by_column() {
    let text = b"app,func,end_timestamp,duration\na,f,2.0,1.0\na,f,,1.0\na,f,soon,1.0\n,f,3.0,1.0\na,f,3.0\na,f,-1,0\n\xff,f,3.0,1.0\na,f,nan,1\na,f,9.0,1.0,more\n";
    let trace = read("bad.csv", text, AZURE).expect("the trace is usable");
    assert_eq!((trace.counts.rows, trace.counts.used, times(&trace)), (9, 2, vec![0, 7_000_000]));
    let skipped: Vec<(&str, u64, &str)> = trace
        .counts
        .skipped
        .iter()
        .map(|(column, skipped)| (column.as_str(), skipped.rows, skipped.first_reason.as_str()))
        .collect();
    let wanted = [
        ("app", 1, "line 5: missing"),
        ("duration", 1, "line 6: missing"),
        ("end_timestamp", 4, "line 3: missing"),
        ("line", 1, "line 8: not UTF-8"),
    ];
    assert_eq!(skipped, wanted);
    let sum: u64 = trace.counts.skipped.values().map(|skipped| skipped.rows).sum();
    assert_eq!(
        trace.counts.used + trace.counts.filtered + trace.counts.unclassified + sum,
        trace.counts.rows
    );
    let none = read("none.csv", b"app,func,end_timestamp,duration\na,f,x,1\n", AZURE)
        .expect_err("the trace has no usable row");
    assert!(
        none.contains("no row can be used; 1 rows: 0 used")
            && none.contains("1 skipped for end_timestamp (line 2: not a number)"),
        "{none}"
    );
    assert!(load(std::path::Path::new("/nowhere.csv"), HclDocument { file: "map.hcl", text: AZURE }).is_err());
}

#[test]
fn rows_too_late_to_reorder_are_moved_and_counted() {
    let text = b"t,o\n10,a\n100,b\n200,c\n20,d\n";
    let map =
        "trace {\n reorder_s = 50\n time {\n column = \"t\"\n }\n object = \"o\"\n class \"piece\" {}\n}";
    let trace = read("late.csv", text, map).expect("the trace is usable");
    assert_eq!(times(&trace), [0, 90_000_000, 90_000_000, 190_000_000]);
    assert_eq!(
        (trace.counts.reordered, trace.counts.moved, trace.counts.max_moved),
        (0, 1, Span::from_secs(80))
    );
}

#[test]
fn long_trace_is_sampled_at_its_rate() {
    let mut text = String::from("t,o\n");
    (0..36_000).for_each(|n| text += &format!("{},{}\n", n as f64 / 10.0, n % 50));
    let map = "trace {\n window_s = 300\n slices = 30\n time {\n column = \"t\"\n }\n object = \"o\"\n class \"result\" {\n part = 0.3\n }\n class \"piece\" {}\n}";
    let trace = read("long.csv", text.as_bytes(), map).expect("the trace is usable");
    assert_eq!((trace.length, trace.slices), (Span::from_secs(300), 30));
    assert!((2990..=3030).contains(&trace.requests.len()), "{}", trace.requests.len());
    let RateComparison { trace: trace_rate, sample: sample_rate, error } = trace.rates.compare()[ALL];
    assert!((trace_rate - 10.0).abs() < 0.01 && (sample_rate - 10.0).abs() < 0.1 && error.abs() < 0.01);
    assert!(times(&trace).windows(2).all(|pair| pair[0] <= pair[1]));
    // All requests for an object have the same class.
    let mut class_of: BTreeMap<u64, usize> = BTreeMap::new();
    assert!(trace.requests.iter().all(|r| *class_of.entry(r.object).or_insert(r.class) == r.class));
    assert!(class_of.values().any(|class| *class == 0) && class_of.values().any(|class| *class == 1));
}

#[test]
fn invalid_maps_are_errors_with_line_and_column() {
    let text = b"t,o\n1,a\n";
    for (map, wanted) in [
        ("trace {\n format = \"azure\"\n}", "map.hcl:2:11: no format \"azure\"; "),
        ("trace {\n class \"piece\" {}\n}", "map.hcl:1:1: the trace block has no time block"),
        (
            "trace {\n time {\n column = \"tt\"\n }\n object = \"o\"\n class \"p\" {}\n}",
            "map.hcl:3:11: no column \"tt\"; did you mean \"t\"?",
        ),
        (
            "trace {\n time {\n column = \"t\"\n unit = \"h\"\n }\n object = \"o\"\n class \"p\" {}\n}",
            "map.hcl:3:11: unit \"h\" is none of s, ms, us, ns",
        ),
        (
            "trace {\n time {\n column = \"t\"\n }\n class \"p\" {}\n}",
            "map.hcl:1:1: the trace block has no object: list the columns",
        ),
        (
            "trace {\n time {\n column = \"t\"\n }\n object = \"o\"\n}",
            "map.hcl:1:1: the trace block has no class block",
        ),
        (
            "trace {\n header = false\n class \"p\" {}\n}",
            "map.hcl:1:1: without a header the columns have to be listed",
        ),
        (
            "trace {\n time {\n column = \"t\"\n }\n object = \"o\"\n class \"p\" {\n part = 2\n }\n}",
            "map.hcl:7:9: part must be a number from 0 to 1",
        ),
        (
            "trace {\n time {\n column = \"t\"\n }\n object = \"o\"\n class \"p\" {\n one_of = \"a\"\n }\n}",
            "map.hcl:6:2: a class block must have a column together with",
        ),
    ] {
        let error = read("map.csv", text, map).expect_err(map);
        assert!(error.starts_with(wanted), "{error:?} does not start with {wanted:?}");
    }
}
