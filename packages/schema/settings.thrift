// Settings of the daemons, filled from flags and environment variables.
namespace cpp sesamesaddle.schema

include "messages.thrift"

struct DaemonSettings {
  1: required messages.Role role
  2: required string name
  3: required string zone
  // Where other processes of the system reach this one (UDP).
  4: required messages.PackedEndpoint listen
  5: required messages.PackedEndpoint admin_listen
  6: required messages.PackedEndpoint platform
  7: required string log_level
  8: required string admin_token
  9: required i32 stop_timeout_ms
  // Balancer: where the fabric delivers datagrams (UDP).
  10: required messages.PackedEndpoint fabric_listen
  // Balancer: where datagrams for callers go.
  15: required messages.PackedEndpoint fabric
  // Balancer: datagrams from callers a second; 0 sets no limit.
  16: required i32 max_datagrams_per_second
  // Processes to start gossip from besides those named in the platform.
  17: required list<messages.PackedEndpoint> peers
  // Agent: its target (HTTP).
  11: required messages.PackedEndpoint target
  12: required i32 slots
  13: required i32 queue_limit
  14: required i32 slow_start_ms
}
