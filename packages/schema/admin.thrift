// Responses and state dumps of the administration API.
namespace cpp sesamesaddle.schema

include "messages.thrift"
include "configuration.thrift"

enum CommandOutcome {
  kDone = 0
  kAccepted = 1
  kRefused = 2
  kOutcomeUnknown = 3
  kSyntaxError = 4
}

struct Row {
  1: required list<string> cells
}

struct Table {
  1: required list<string> columns
  2: required list<Row> rows
}

struct CommandReply {
  1: required CommandOutcome outcome
  2: required string message
  3: optional i64 revision
  4: optional string change_id
  5: optional Table table
  // 1-based column of a syntax error.
  6: optional i32 column
}

struct TargetLoad {
  1: required string name
  2: required i32 in_flight
  3: required i32 queued
  4: required i32 flows
  5: required i32 slots
  6: required i64 answer_time_us
}

struct FlowDump {
  1: required string caller
  2: required string service_address
  3: required i32 feeds
  4: required i32 running
  5: required i64 epoch
}

// Response of /v1/state.
struct StateDump {
  1: required string name
  2: required string role
  3: required string zone
  4: required string version
  5: required i64 revision
  6: required bool ready
  7: required bool stopping
  8: required configuration.Configuration configuration
  9: required list<messages.MemberRecord> members
  10: required map<string, i64> counters
  11: required list<TargetLoad> loads
  12: required list<FlowDump> flows
}
