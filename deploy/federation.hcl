# The operator's file of the federation: pass it with --federation or PROXY_FEDERATION. Not used by
# deploy/balancer.toml's run. The same for all members but for id (and listen, store, where they differ).
# Design and operators' page: docs/federation.md.
federation {
  cluster  = "tabla"
  id       = 1
  store    = "federation.redb"        # made once by: dahliatrack federation init FILE
  key_file = "keys/federation.secret" # one line of base64url, 16 bytes at least; not part of the repository
  revision = 1                        # up by one with each change of the members

  # These may be left out; they are the defaults, and a test keeps them so.
  tick_ms         = 50
  election_ticks  = 10
  heartbeat_ticks = 2
  compact_after   = 1000
  silent_ms       = 2000
  lease_ms        = 3000
  guard_ms        = 200
  drift           = 0.05

  member "1" {
    site    = "north"
    address = "127.0.0.1:7401"
    voter   = true
  }
  member "2" {
    site    = "south"
    address = "127.0.0.1:7402"
    voter   = true
  }
  member "3" {
    site    = "harbour"
    address = "127.0.0.1:7403"
    voter   = true
  }
}
