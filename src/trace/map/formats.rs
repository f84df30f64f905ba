//! The published trace formats that a map can name. The source for each is the README of its publisher.

/// A published format.
pub(super) struct Format {
    pub(super) name: &'static str,
    /// Whether the file's first line names the columns.
    pub(super) header: bool,
    pub(super) columns: &'static [&'static str],
    pub(super) time: FormatTime,
    /// The columns whose values together identify the object.
    pub(super) object: &'static [&'static str],
    /// The value that rows must have to be used; `None` if all rows are.
    pub(super) filter: Option<FormatFilter>,
}

/// How the time of a format's rows is computed.
pub(super) struct FormatTime {
    pub(super) column: &'static str,
    pub(super) unit: &'static str,
    /// A column that is subtracted from the time, in the same unit.
    pub(super) minus: Option<&'static str>,
}

/// The value that a format's rows must have to be used.
pub(super) struct FormatFilter {
    pub(super) column: &'static str,
    pub(super) value: &'static str,
}

pub(super) const FORMATS: [Format; 3] = [
    // Azure Functions Invocation Trace 2021 (AzureFunctionsInvocationTraceForTwoWeeksJan2021): one invocation per line,
    // ordered by end time. Times are in seconds.
    Format {
        name: "azure-functions-2021",
        header: true,
        columns: &["app", "func", "end_timestamp", "duration"],
        time: FormatTime { column: "end_timestamp", unit: "s", minus: Some("duration") },
        object: &["app", "func"],
        filter: None,
    },
    // Google cluster-usage traces v2 (clusterdata-2011-2), task_events. Times are in microseconds. Event type 0 is
    // SUBMIT.
    Format {
        name: "google-2011-task-events",
        header: false,
        columns: &[
            "time",
            "missing_info",
            "job_id",
            "task_index",
            "machine_id",
            "event_type",
            "user",
            "scheduling_class",
            "priority",
            "cpu_request",
            "memory_request",
            "disk_request",
            "different_machines",
        ],
        time: FormatTime { column: "time", unit: "us", minus: None },
        object: &["job_id"],
        filter: Some(FormatFilter { column: "event_type", value: "0" }),
    },
    // Alibaba cluster-trace-v2018, batch_task. Times are in seconds.
    Format {
        name: "alibaba-2018-batch-task",
        header: false,
        columns: &[
            "task_name",
            "instance_num",
            "job_name",
            "task_type",
            "status",
            "start_time",
            "end_time",
            "plan_cpu",
            "plan_mem",
        ],
        time: FormatTime { column: "start_time", unit: "s", minus: None },
        object: &["job_name", "task_name"],
        filter: None,
    },
];
