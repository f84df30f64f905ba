# The operator's file of the control service: pass it with --control or PROXY_CONTROL to `dahliatrack control`. Not used
# by deploy/balancer.toml's run. All keys but `listen` may be left out; these are the defaults, and a test keeps them so.
control {
  listen           = "127.0.0.1:18000"
  most_clients     = 2000
  debounce_ms      = 50
  debounce_most_ms = 250
  poll_ms          = 250
  refresh_s        = 5
}
