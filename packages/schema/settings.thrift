// Settings of the daemons, filled from flags and environment variables.
namespace cpp sesamesaddle.schema

include "messages.thrift"

struct DaemonSettings {
  1: required messages.Role role
  2: required string name
  3: required string zone
  // UDP address on which this process receives messages from its peers.
  4: required messages.PackedEndpoint listen
  5: required messages.PackedEndpoint admin_listen
  6: required messages.PackedEndpoint platform
  7: required string log_level
  8: required string admin_token
  9: required i32 stop_timeout_ms
  // Balancer: UDP address on which it receives datagrams from the fabric.
  10: required messages.PackedEndpoint fabric_listen
  // Balancer: UDP address to which it sends datagrams for callers.
  15: required messages.PackedEndpoint fabric
  // Balancer: maximum rate of datagrams from callers; 0 means unlimited.
  16: required i32 max_datagrams_per_second
  // Gossip seeds in addition to those registered in the platform.
  17: required list<messages.PackedEndpoint> peers
  // Agent: HTTP address of its target.
  11: required messages.PackedEndpoint target
  12: required i32 slots
  13: required i32 queue_limit
  14: required i32 slow_start_ms
}
