# The operator's admission file: pass it with --admission or PROXY_ADMISSION. Not used by deploy/balancer.toml's run
# (see docs/admission.md, "On the bench"). Every key may be left out; these are the defaults, and a test keeps them so.
admission {
  per_address      = 64
  per_prefix       = 512
  prefix_v4        = 24
  prefix_v6        = 64
  rate_per_s       = 50
  burst            = 100
  known_rate_per_s = 0
  known_window_s   = 600
  reserve_known    = 0.1
  reserve_upstream = 16
  pause_ms         = 1000
}
