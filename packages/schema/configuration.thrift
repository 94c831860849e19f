// The operators' configuration and the changes that turn one revision into the
// next.
namespace cpp sesamesaddle.schema

include "messages.thrift"

enum Priority {
  kLow = 0
  kNormal = 1
  kHigh = 2
}

// Matches targets by name pattern (wildcards * and ?) and zone (empty: any).
struct TargetRule {
  1: required string pattern
  2: required string zone
}

struct Service {
  1: required messages.ServiceId id
  2: required string name
  3: required messages.PackedEndpoint address
  4: required Priority priority
  5: required i32 deadline_ms
  6: required i32 drain_grace_ms
  7: required list<TargetRule> targets
}

enum InstanceMode {
  kServing = 0
  kDraining = 1
  kRetired = 2
}

struct Configuration {
  1: required i64 revision
  2: required map<string, Service> services
  // Instances whose mode is not kServing, by name.
  3: required map<string, InstanceMode> instances
  // Evacuated availability zones, with the revision that evacuated each; 0 if a
  // process of an earlier version wrote the snapshot and lost it.
  4: map<string, i64> evacuated_zones
}

struct CreateService {
  1: required string name
  2: required messages.PackedEndpoint address
  3: optional Priority priority
  4: optional i32 deadline_ms
  5: optional i32 drain_grace_ms
}

struct ChangeService {
  1: required string name
  2: optional messages.PackedEndpoint address
  3: optional Priority priority
  4: optional i32 deadline_ms
  5: optional i32 drain_grace_ms
}

struct RemoveService {
  1: required string name
}

struct AllowTargets {
  1: required string service_name
  2: required TargetRule rule
}

struct DenyTargets {
  1: required string service_name
  2: required TargetRule rule
}

struct SetInstanceMode {
  1: required string name
  2: required InstanceMode mode
}

// Every instance of an evacuated zone is treated as draining.
struct SetZoneMode {
  1: required string zone
  2: required bool evacuated
}

// Exactly one field is set, except that set_zone_mode comes with a
// set_instance_mode for processes that do not know it (zone_mode.h).
struct Change {
  1: optional CreateService create_service
  2: optional ChangeService change_service
  3: optional RemoveService remove_service
  4: optional AllowTargets allow_targets
  5: optional DenyTargets deny_targets
  6: optional SetInstanceMode set_instance_mode
  7: optional SetZoneMode set_zone_mode
}

// One entry of the ordered change log; its store key ends in its revision.
struct ChangeRecord {
  1: required i64 revision
  2: required string change_id
  3: required string author
  4: required i64 time_ms
  5: required Change change
  6: required string text
}
