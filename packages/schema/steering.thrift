// What the processes that steer packet flows tell each other and keep in the
// platform's store.
namespace cpp sesamesaddle.schema

include "messages.thrift"

enum TargetState {
  kUnknown = 0,  // The target has not announced itself to this agent yet.
  kReady = 1,
  kDraining = 2,
  kGone = 3,
}

// A target and the agent beside it, as the agent lists them in the store.
struct TargetRecord {
  1: required string id
  // Start of the target, Unix milliseconds; tells its incarnations apart.
  2: required i64 born_ms
  3: required string service_name
  4: required messages.PackedEndpoint target
  // Where the agent takes packets of flows (UDP).
  5: required messages.PackedEndpoint agent
  6: required string zone
  7: required i32 slots
  8: required TargetState state
  9: required i32 slow_start_ms
}

// A balancer, as it lists itself in the store.
struct BalancerRecord {
  1: required string name
  2: required string zone
  // Where it takes control messages (UDP).
  3: required messages.PackedEndpoint control
  // Where it serves its replica (HTTP).
  4: required messages.PackedEndpoint replica
}

// From an agent to the balancers that send it packets.
struct AgentReport {
  1: required messages.PackedEndpoint agent
  2: required string service_name
  3: required TargetState state
  4: required i32 slots
  // Flows with a request in progress at the target.
  5: required i32 waiting
  // Flows that were opened, but have carried no request yet.
  6: required i32 opening
  7: required i32 flows
  // Moving average from a request's packet to the first packet of its answer.
  8: required i32 response_us
  // Flows whose SYN the target has accepted, or the agent keeps for it.
  9: required list<messages.FlowKey> accepted
  // Flows of queries and offered packets that this target holds.
  10: required list<messages.FlowKey> held
  // Flows of queries and offered packets that this target does not hold.
  11: required list<messages.FlowKey> not_held
  // The agent stops while its target goes on.
  12: required bool restarting
  // The target has stopped answering packets; new flows are refused.
  13: required bool silent
  // New flows that wait at the agent for room at its target.
  14: required i32 queued
  // Flows of queries that only the target can tell: the agent is younger.
  15: required list<messages.FlowKey> unsure
  // The target fails requests, by what passes of its answers.
  16: optional bool failing = false
}

// From a balancer that looks for the targets of flows; answered by a report.
struct FlowQuery {
  1: required list<messages.FlowKey> flows
}

// How new a balancer's replica is.
struct ReplicaVersion {
  // Revision of the store up to which its directory is complete.
  1: required i64 directory_revision
  // Revision of the store at which the configuration was written.
  2: required i64 configuration_revision
}

struct ReplicaEntry {
  1: required string key
  2: required binary value
  3: required i64 revision
}

// A replica as one balancer copies it from another.
struct ReplicaSnapshot {
  1: required ReplicaVersion version
  // The operators' document as it stands in the store.
  2: required binary configuration
  3: required list<ReplicaEntry> entries
}

// A control datagram; one field is set.
struct SteeringMessage {
  1: optional AgentReport report
  2: optional ReplicaVersion version
  3: optional FlowQuery query
}

// The state of a process that steers flows, dumped on request.
struct SteeringState {
  1: required string name
  2: required string role
  3: required string zone
  4: required bool ready
  5: required bool stopping
  6: required ReplicaVersion version
  7: required list<TargetRecord> targets
  8: required map<string, i64> counters
}
