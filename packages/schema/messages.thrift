// Messages between the processes of the system, and their shared records.
// Generated code is committed; run scripts/generate-schema after a change.
namespace cpp sesamesaddle.schema

// IPv4 address in host byte order shifted left by 16, plus the port.
typedef i64 PackedEndpoint

// Hash of an instance's name and its process's start time.
typedef i64 MemberId

// Revision of the configuration that created the service; never reused.
typedef i64 ServiceId

struct FlowKey {
  1: required PackedEndpoint caller
  2: required PackedEndpoint service_address
}

enum Purpose {
  // Sent by a balancer to the agent that ranks first for the flow.
  kRoute = 0
  // The sender assigned the flow to the recipient.
  kAssign = 1
  // The sender has the recipient on record as the owner of the flow.
  kForward = 2
  // The request carries an Echo value that the recipient issued.
  kEchoIssuer = 3
}

// A caller's datagram, forwarded to the owner of its flow.
struct Envelope {
  1: required ServiceId service_id
  2: required FlowKey flow
  3: required i64 revision
  4: required PackedEndpoint balancer
  5: required i16 hops
  6: required Purpose purpose
  7: required MemberId recipient
  8: required binary payload
  // Ownership epoch of an assigned flow.
  9: required i64 epoch
}

// A datagram that the owner of a flow sends to the caller.
struct Answer {
  1: required FlowKey flow
  2: required MemberId owner
  3: required binary payload
}

enum MisrouteReason {
  kWrongRecipient = 0
  kWrongService = 1
  kRecipientBehind = 2
  kLeaving = 3
}

// An envelope that the recipient refused; the sender selects a new route.
struct Misrouted {
  1: required Envelope envelope
  2: required MisrouteReason reason
  3: required i64 revision
}

struct DirectoryEntry {
  1: required FlowKey flow
  2: required MemberId owner
  3: required i64 epoch
}

struct DirectoryQuery {
  1: required i64 query
  2: required FlowKey flow
  3: required ServiceId service_id
  4: required MemberId sender
}

struct DirectoryReply {
  1: required i64 query
  2: required FlowKey flow
  3: optional DirectoryEntry entry
  // The replying agent is assigning the flow itself and outranks the querier.
  4: required bool placing
}

struct DirectoryUpdate {
  1: required i64 batch
  2: required MemberId sender
  3: required list<DirectoryEntry> entries
  4: required list<DirectoryEntry> removed
}

struct DirectoryAck {
  1: required i64 batch
  // Entries that the directory keeps in place of the ones that it refused.
  2: required list<DirectoryEntry> superseded
}

struct LoadReport {
  1: required MemberId sender
  2: required i32 in_flight
  3: required i32 queued
  4: required i32 flows
  5: required i32 slots
  // Mean response time of the target, in microseconds.
  6: required i64 answer_time_us
  7: required bool accepting
  // Number of requests completed by this target.
  8: required i64 completed
  9: required i64 uptime_ms
}

// A request that the owner of a flow offloads to an agent with free slots.
struct RunRequest {
  1: required i64 call
  2: required MemberId sender
  3: required ServiceId service_id
  4: required string method
  5: required string path
  6: required binary body
  7: required i32 deadline_ms
  8: required i64 revision
  9: required MemberId recipient
  10: required bool idempotent
}

enum RunOutcome {
  kAccepted = 0
  kAnswered = 1
  kNotRun = 2
  kUnknown = 3
}

// Progress of a RunRequest; `part` begins at byte `offset` of the body.
struct RunResult {
  1: required i64 call
  2: required MemberId sender
  3: required RunOutcome outcome
  4: required i32 status
  5: required i32 total_bytes
  6: required i32 offset
  7: required binary part
  8: required string content_type
  9: required string entity_tag
}

// Requests the bytes of a response body from `offset` on.
struct RunFetch {
  1: required i64 call
  2: required MemberId sender
  3: required i32 offset
}

struct RunCancel {
  1: required i64 call
  2: required MemberId sender
}

struct RememberedRequest {
  1: required i64 nonce
  2: required i64 request_digest
  3: required i32 message_id
  4: required binary answer
  5: required i32 remaining_ms
}

struct FeedState {
  1: required binary token
  2: required string path
  3: required i32 sequence
  4: required string entity_tag
}

// Key that verifies Echo values (RFC 9175) issued by an earlier owner.
struct EchoGrant {
  1: required MemberId issuer
  2: required binary key
  // Values issued up to this time, in microseconds of the issuer's clock, are
  // expired; unset if none is.
  3: optional i64 expired_until_us
}

struct FlowState {
  1: required FlowKey flow
  2: required ServiceId service_id
  3: required i64 epoch
  4: required list<RememberedRequest> requests
  5: required list<FeedState> feeds
  6: required list<EchoGrant> grants
  7: required PackedEndpoint balancer
  8: required i32 next_message_id
}

struct Handover {
  1: required i64 batch
  2: required MemberId sender
  3: required list<FlowState> flows
}

struct HandoverAck {
  1: required i64 batch
  2: required MemberId sender
  3: required bool taken
}

enum Role {
  kBalancer = 0
  kAgent = 1
}

enum MemberState {
  kAlive = 0
  kSuspect = 1
  kDead = 2
  kLeft = 3
}

struct MemberRecord {
  1: required MemberId id
  2: required string name
  3: required Role role
  4: required PackedEndpoint endpoint
  5: required string zone
  6: required i32 incarnation
  7: required MemberState state
  8: required i32 slots
  9: required bool draining
  10: required i64 born_ms
  11: required PackedEndpoint admin
}

// Update of a member whose record the receiver is expected to have.
struct MemberNews {
  1: required MemberId id
  2: required i32 incarnation
  3: required MemberState state
  4: required bool draining
}

enum GossipKind {
  kPing = 0
  kAck = 1
  kPingRequest = 2
  kDigest = 3
  kRecords = 4
}

struct Gossip {
  1: required GossipKind kind
  2: required i64 sequence
  3: required MemberRecord sender
  // Member to probe (kPing, kPingRequest) or that was probed (kAck).
  4: required MemberId subject
  // Destination of the acknowledgement; 0 for the sender.
  5: required PackedEndpoint reply_to
  6: required i64 revision
  // Members whose records the receiver may not have yet.
  7: required list<MemberRecord> records
  // One hash per bucket of the member table (kDigest).
  8: optional list<i64> buckets
  9: required list<MemberNews> news
  // The bucket whose members the sender lists in `known` (kDigest).
  10: optional i32 bucket
  // Short hashes of the members in that bucket (kDigest).
  11: optional list<i32> known
  // Bit mask of the buckets that differ from the digest (kRecords).
  12: optional i64 differing
}

struct ConfigurationFetch {
  1: required i64 after_revision
}

// Records after the requested revision, or a part of a snapshot.
struct ConfigurationNews {
  1: required list<binary> records
  2: required i64 first_revision
  3: optional i64 snapshot_revision
  4: optional i32 snapshot_bytes
  5: optional i32 offset
  6: optional binary part
}

struct SnapshotFetch {
  1: required i64 revision
  2: required i32 offset
}

// One datagram between two processes; exactly one field is set.
struct PeerMessage {
  1: optional Envelope envelope
  2: optional Answer answer
  3: optional Misrouted misrouted
  4: optional DirectoryQuery directory_query
  5: optional DirectoryReply directory_reply
  6: optional DirectoryUpdate directory_update
  7: optional DirectoryAck directory_ack
  8: optional LoadReport load_report
  9: optional RunRequest run_request
  10: optional RunResult run_result
  11: optional RunFetch run_fetch
  12: optional RunCancel run_cancel
  13: optional Handover handover
  14: optional HandoverAck handover_ack
  15: optional Gossip gossip
  16: optional ConfigurationFetch configuration_fetch
  17: optional ConfigurationNews configuration_news
  18: optional SnapshotFetch snapshot_fetch
}
