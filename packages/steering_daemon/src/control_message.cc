#include "steering_daemon/control_message.h"

#include <algorithm>
#include <vector>

#include "flow_model/target_limits.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

// Flows or requests at one target; sums of a few of them fit 32 bits.
constexpr int32_t kMaxCount = 100000000;

bool IsCount(int32_t value) { return value >= 0 && value <= kMaxCount; }

bool IsState(schema::TargetState::type state) {
  return state >= schema::TargetState::kUnknown &&
         state <= schema::TargetState::kGone;
}

/** Whether the numbers are below 2^48, as packed endpoints are. */
bool ArePacked(const std::vector<schema::FlowKey>& flows) {
  const auto is_packed = [](int64_t packed) {
    return Endpoint::Unpack(packed).Pack() == packed;
  };
  return std::all_of(
      flows.begin(), flows.end(), [&](const schema::FlowKey& flow) {
        return is_packed(flow.caller) && is_packed(flow.service_address);
      });
}

std::string_view FindFault(const Endpoint& from,
                           const schema::AgentReport& report) {
  if (!Endpoint::IsPacked(report.agent)) return "the agent is no endpoint";
  if (Endpoint::Unpack(report.agent).ip() != from.ip()) {
    return "the report is of another agent";
  }
  if (!IsState(report.state)) return "the state is unknown";
  if (report.slots < 0 || report.slots > kMaxTargetSlots) {
    return "the number of slots is out of range";
  }
  for (const int32_t count :
       {report.waiting, report.opening, report.flows, report.queued}) {
    if (!IsCount(count)) return "a number of flows is out of range";
  }
  if (report.response_us < 0) return "the response time is negative";
  if (report.target_known_ms < 0) return "the age of the target is negative";
  if (report.__isset.slow_start_room && !IsCount(report.slow_start_room)) {
    return "the room is out of range";
  }
  if (report.__isset.zone &&
      (report.zone.era < 0 || report.zone.revision < 0)) {
    return "the state of the zone is out of range";
  }
  for (const auto* flows :
       {&report.accepted, &report.held, &report.not_held, &report.unsure}) {
    if (!ArePacked(*flows)) return "a flow is out of range";
  }
  return {};
}

std::string_view FindFault(const schema::ReplicaVersion& version) {
  const bool valid =
      version.directory_revision >= 0 && version.configuration_revision >= 0 &&
      version.directory_era >= 0 && version.configuration_era >= 0;
  return valid ? std::string_view() : "a revision is negative";
}

std::string_view FindFault(const schema::ReplicaChanges& changes) {
  if (changes.after_revision < 0) return "a revision is negative";
  for (const auto* entries : {&changes.entries, &changes.removed}) {
    for (const schema::ReplicaEntry& entry : *entries) {
      if (entry.revision < 1 || entry.era < 0) {
        return "an entry has no revision";
      }
    }
  }
  return FindFault(changes.version);
}

std::string_view FindFault(const schema::UnlistedReply& reply) {
  if (reply.era < 0 || reply.revision < 0) return "a revision is negative";
  const bool endpoints =
      std::all_of(reply.agents.begin(), reply.agents.end(), Endpoint::IsPacked);
  return endpoints ? std::string_view() : "an agent is no endpoint";
}

std::string_view FindFault(const Endpoint& from,
                           const schema::SteeringMessage& message) {
  std::string_view fault;
  const auto check = [&fault](std::string_view found) {
    if (fault.empty()) fault = found;
  };
  if (message.__isset.report) check(FindFault(from, message.report));
  if (message.__isset.version) check(FindFault(message.version));
  if (message.__isset.changes) check(FindFault(message.changes));
  if (message.__isset.query && !ArePacked(message.query.flows)) {
    check("a flow is out of range");
  }
  if (message.__isset.notice && message.notice.__isset.zone &&
      message.notice.zone.era < 0) {
    check("the state of the zone is out of range");
  }
  const schema::RevisionReply& reply = message.revision_reply;
  if (message.__isset.revision_reply && (reply.era < 0 || reply.revision < 0)) {
    check("a revision is negative");
  }
  const schema::UnlistedQuery& unlisted_query = message.unlisted_query;
  if (message.__isset.unlisted_query &&
      (unlisted_query.era < 0 || unlisted_query.revision < 0)) {
    check("a revision is negative");
  }
  if (message.__isset.unlisted_reply) check(FindFault(message.unlisted_reply));
  return fault;
}

}  // namespace

tl::expected<schema::SteeringMessage, std::string_view> DecodeControlMessage(
    const Endpoint& from, std::string_view bytes) {
  auto message = DecodeCompact<schema::SteeringMessage>(bytes);
  if (!message) {
    return tl::unexpected(std::string_view("the message is unreadable"));
  }
  const std::string_view fault = FindFault(from, *message);
  if (!fault.empty()) return tl::unexpected(fault);
  return std::move(*message);
}

}  // namespace sesamesaddle
