# How a trace is read for `dahliatrack lab replay`: a published format, and which of its rows are which class. This one
# is the demo's. All of docs/traces.md applies.
trace {
  format    = "azure-functions-2021"
  reorder_s = 60
  window_s  = 600
  slices    = 20
  class "result" {
    part = 0.15
  }
  class "replay" {
    column = "duration"
    from   = 0.2
  }
  class "standing" {
    part = 0.2
  }
  class "piece" {
  }
}
