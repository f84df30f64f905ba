//! The published formats that are known by name. Sources: the README of each trace at its publisher.

/// A published format.
pub(super) struct Format {
    pub(super) name: &'static str,
    /// Whether the file's first line names the columns.
    pub(super) header: bool,
    pub(super) columns: &'static [&'static str],
    pub(super) time: FormatTime,
    /// The columns that name the object.
    pub(super) object: &'static [&'static str],
    /// Only rows whose column has this value.
    pub(super) filter: Option<FormatFilter>,
}

/// The time of a format's rows.
pub(super) struct FormatTime {
    pub(super) column: &'static str,
    pub(super) unit: &'static str,
    /// A column that is subtracted.
    pub(super) minus: Option<&'static str>,
}

/// A value that a format's rows must have.
pub(super) struct FormatFilter {
    pub(super) column: &'static str,
    pub(super) value: &'static str,
}

/// All formats.
pub(super) const FORMATS: [Format; 3] = [
    // Azure Functions Invocation Trace 2021 (AzureFunctionsInvocationTraceForTwoWeeksJan2021): an invocation a line,
    // in the order of their ends; seconds.
    Format {
        name: "azure-functions-2021",
        header: true,
        columns: &["app", "func", "end_timestamp", "duration"],
        time: FormatTime { column: "end_timestamp", unit: "s", minus: Some("duration") },
        object: &["app", "func"],
        filter: None,
    },
    // Google cluster-usage traces v2 (clusterdata-2011-2), task_events: microseconds; event type 0 is SUBMIT.
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
    // Alibaba cluster-trace-v2018, batch_task: seconds.
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
