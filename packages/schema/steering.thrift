// Messages between the processes that steer packet flows, and their records in
// the platform's store.
namespace cpp sesamesaddle.schema

include "messages.thrift"

enum TargetState {
  kUnknown = 0,  // This agent has not received an announcement of the target.
  kReady = 1,
  kDraining = 2,
  kGone = 3,
}

// A target and its agent, as the agent registers them in the store.
struct TargetRecord {
  1: required string id
  // Start time of the target in Unix milliseconds; identifies its incarnation.
  2: required i64 born_ms
  3: required string service_name
  4: required messages.PackedEndpoint target
  // UDP address on which the agent receives the packets of flows.
  5: required messages.PackedEndpoint agent
  6: required string zone
  7: required i32 slots
  8: required TargetState state
  9: required i32 slow_start_ms
  // The agent is stopping, but its target keeps running; the entry of its next
  // process follows.
  10: optional bool agent_stopping
  // The agent reads the wide check of a service (flow_model/agent_hop.h);
  // absent if it is of a version that refuses packets with it.
  11: optional bool reads_wide_check
}

// A balancer, as it registers itself in the store.
struct BalancerRecord {
  1: required string name
  2: required string zone
  // UDP address for control messages.
  3: required messages.PackedEndpoint control
  // HTTP address that serves its replica.
  4: required messages.PackedEndpoint replica
  // Resources of its instance; absent if its settings name no limits.
  5: optional double cpu_cores
  6: optional double link_mbps
}

// Whether an availability zone is evacuated: its targets get no new flows.
struct ZoneState {
  1: required string zone
  2: required bool evacuated
  // Store revision and era at which the state was set; the later one wins.
  3: required i64 revision
  4: required i64 era
}

// All flows that a target holds, as hashes (HashFlow, low 32 bits).
struct FlowDigest {
  // Number of the query that this digest replies to.
  1: required i32 query
  2: required list<i32> hashes
}

// Sent by an agent to the balancers that send it packets.
struct AgentReport {
  1: required messages.PackedEndpoint agent
  2: required string service_name
  3: required TargetState state
  4: required i32 slots
  // Flows with a request in progress at the target.
  5: required i32 waiting
  // Open flows that have not carried a request yet.
  6: required i32 opening
  7: required i32 flows
  // Moving average of the time from a request's packet to the first packet of
  // its response, in microseconds.
  8: required i32 response_us
  // Flows whose SYN the target has accepted or the agent has queued.
  9: required list<messages.FlowKey> accepted
  // Flows of queries and offered packets that this target holds.
  10: required list<messages.FlowKey> held
  // Flows of queries and offered packets that this target does not hold.
  11: required list<messages.FlowKey> not_held
  // The agent is stopping, but its target keeps running.
  12: required bool restarting
  // The target no longer responds to packets; new flows are refused.
  13: required bool silent
  // New flows queued at the agent until its target has capacity.
  14: required i32 queued
  // Flows of queries that only the target can decide: the agent may have
  // started after the flow, or the flow is not open at the agent yet.
  15: required list<messages.FlowKey> unsure
  // Requests to the target fail, judged by the responses that pass the agent.
  16: optional bool failing = false
  // State of the agent's availability zone as the agent knows it.
  17: optional ZoneState zone
  // New flows that a target in slow start still accepts within this second;
  // absent if it is not limited.
  18: optional i32 slow_start_room
  // Reply to a query that asks for a digest; absent if the agent cannot know
  // all flows of its target or they are too many.
  19: optional FlowDigest digest
  // As in TargetRecord; agents of a version without the wide check send none.
  21: optional bool reads_wide_check
  // Time for which the agent has known the present start of its target, in
  // milliseconds, up to a minute; absent if it does not know it.
  22: optional i32 target_known_ms
  // No notice has told the agent yet whether its service has a limit of new
  // flows, and its target is in slow start or has not announced itself. Absent
  // otherwise.
  23: optional bool lacks_slow_start_limit
}

// A flow that a target held when its agent recorded it.
struct RecordedFlow {
  1: required messages.FlowKey flow
  // Latest acknowledgement number of the client, for a reset of the flow.
  2: required i32 acknowledged
  // Its route's requests must run at most once.
  3: optional bool runs_once = false
  // It may be open at the target or not, as far as the writer knew: a later
  // target may have started and opened it, or, only in a complete record, its
  // client had not shown that it is open.
  4: optional bool undecided = false
  // Sequence number after the last byte that the client sent; absent if unknown.
  5: optional i32 client_sequence_end
}

// The open flows of a target. Its agent keeps this record in the store for its
// own next incarnation: after a power loss nothing else remembers the flows.
struct FlowRecord {
  1: required string target_id
  // Start time of the target in Unix milliseconds, as in TargetRecord.
  2: required i64 born_ms
  3: required list<RecordedFlow> flows
  // Unix time in milliseconds at which the record had all flows of the target;
  // the writer let no later ones open before its planned end. Absent if the
  // record may lack some, as do those of earlier builds.
  4: optional i64 complete_at_ms
  // Store revision of the writer's entry then, set with complete_at_ms. A later
  // process that let flows open has written another entry.
  5: optional i64 entry_revision
}

// Limit of new flows to a target in its slow start, from the configuration.
struct SlowStartLimit {
  // Duration of the slow start in milliseconds.
  1: required i32 duration_ms
  // New flows per second that a target accepts meanwhile; above 0.
  2: required double flows_per_second
  // Version of the configuration that sets the limit.
  3: required i64 configuration_version
}

// Removal of a process's entry from the store, as the sender's replica has it.
struct EntryRemoval {
  // Store revision and era at which the entry was missing.
  1: required i64 revision
  2: required i64 era
}

// Sent by a balancer to an agent: what the agent needs of the operators'
// settings, which it does not read from the store itself.
struct AgentNotice {
  // State of the agent's availability zone, if it was ever evacuated.
  1: optional ZoneState zone
  // Of the agent's service; absent if the configuration sets none.
  2: optional SlowStartLimit slow_start
  // Version of the configuration that the balancer uses.
  3: required i64 configuration_version
  // The store no longer lists the agent's entry; absent if it does.
  4: optional EntryRemoval entry_missing
  // Service of slow_start. Another process may have the agent's address by now.
  // Absent in notices of earlier builds.
  5: optional string service_name
}

// Sent by a balancer to locate the targets that hold the flows; agents respond
// with an AgentReport.
struct FlowQuery {
  1: required list<messages.FlowKey> flows
  // Asks for a digest of all flows; the reply repeats this number. Numbers of a
  // balancer increase by serial number arithmetic (RFC 1982); a process begins
  // where no earlier one at its address was, as late replies may still arrive.
  2: optional i32 digest_query
}

// The store revisions that a balancer's replica reflects.
struct ReplicaVersion {
  // Store revision up to which its directory is complete.
  1: required i64 directory_revision
  // Store revision at which its configuration was written.
  2: required i64 configuration_revision
  // Eras of the two revisions; 0 if unknown.
  3: optional i64 directory_era = 0
  4: optional i64 configuration_era = 0
  // The operators' own version of the configuration, which orders
  // configurations of different eras; 0 if unknown.
  5: optional i64 configuration_version = 0
}

struct ReplicaEntry {
  1: required string key
  2: required binary value
  3: required i64 revision
  4: optional i64 era = 0
}

// The replica of one balancer, sent to another that synchronizes from it.
struct ReplicaSnapshot {
  1: required ReplicaVersion version
  // The operators' configuration document, as stored.
  2: required binary configuration
  3: required list<ReplicaEntry> entries
}

// The latest changes of the replica of a balancer that watches the store, sent
// to balancers that do not. Also sent without changes, as a sign that the sender
// follows the store.
struct ReplicaChanges {
  1: required ReplicaVersion version
  // The entries below are all changes of the directory after this revision.
  2: required i64 after_revision
  3: required list<ReplicaEntry> entries
  // Entries that were removed, without their values.
  4: required list<ReplicaEntry> removed
}

// Asks a balancer for the store's revision at a time after this query arrives.
struct RevisionQuery {
  // Repeated in the reply.
  1: required i64 token
}

struct RevisionReply {
  1: required i64 token
  2: required i64 era
  3: required i64 revision
}

// Asks a balancer for the agents that may live although the store does not list
// them, which a balancer that has just started cannot know.
struct UnlistedQuery {
  // Position of the sender's directory; a reply from an earlier one says nothing.
  1: required i64 era
  2: required i64 revision
}

// Reply of a balancer that knows all agents.
struct UnlistedReply {
  // Position of its directory.
  1: required i64 era
  2: required i64 revision
  3: required list<messages.PackedEndpoint> agents
}

// A control datagram; exactly one field is set.
struct SteeringMessage {
  1: optional AgentReport report
  2: optional ReplicaVersion version
  3: optional FlowQuery query
  4: optional AgentNotice notice
  5: optional ReplicaChanges changes
  6: optional RevisionQuery revision_query
  7: optional RevisionReply revision_reply
  8: optional UnlistedQuery unlisted_query
  9: optional UnlistedReply unlisted_reply
}

// State dump of a process that steers flows.
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
