#include "steering_daemon/directory_entries.h"

#include "core/endpoint.h"
#include "flow_model/target_limits.h"
#include "schema/codec.h"
#include "steering_daemon/steering_process.h"

namespace sesamesaddle {
namespace {

constexpr std::string_view kUnreadable = "the value is unreadable";

bool IsKnownState(schema::TargetState::type state) {
  return state == schema::TargetState::kReady ||
         state == schema::TargetState::kDraining ||
         state == schema::TargetState::kGone;
}

/** Returns why no balancer can use the record; empty if one can. */
std::string_view FindFault(const std::string& key,
                           const schema::TargetRecord& record) {
  if (!Endpoint::IsPacked(record.agent)) return "the agent is no endpoint";
  if (key != DirectoryKeys::OfTarget(Endpoint::Unpack(record.agent))) {
    return "the key is not that of the agent";
  }
  if (record.id.empty()) return "the id is empty";
  if (record.service_name.empty()) return "the service is empty";
  if (!IsKnownState(record.state)) return "the state is unknown";
  if (record.slots < 1 || record.slots > kMaxTargetSlots) {
    return "the number of slots is out of range";
  }
  if (record.slow_start_ms < 0 || record.slow_start_ms > kMaxSlowStartMs) {
    return "the slow start is out of range";
  }
  return {};
}

std::string_view FindFault(const std::string& key,
                           const schema::BalancerRecord& record) {
  if (!Endpoint::IsPacked(record.control)) return "control is no endpoint";
  if (!Endpoint::IsPacked(record.replica)) return "replica is no endpoint";
  const Endpoint control = Endpoint::Unpack(record.control);
  if (key != DirectoryKeys::OfBalancer(control)) {
    return "the key is not that of the balancer";
  }
  if (Endpoint::Unpack(record.replica).ip() != control.ip()) {
    return "the replica is at another address";
  }
  if (record.name.empty()) return "the name is empty";
  return {};
}

template <typename Record>
tl::expected<Record, std::string_view> DecodeEntry(const std::string& key,
                                                   const std::string& value) {
  auto record = DecodeCompact<Record>(value);
  if (!record) return tl::unexpected(kUnreadable);
  const std::string_view fault = FindFault(key, *record);
  if (!fault.empty()) return tl::unexpected(fault);
  return std::move(*record);
}

}  // namespace

tl::expected<schema::TargetRecord, std::string_view> DecodeTargetEntry(
    const std::string& key, const std::string& value) {
  return DecodeEntry<schema::TargetRecord>(key, value);
}

tl::expected<schema::BalancerRecord, std::string_view> DecodeBalancerEntry(
    const std::string& key, const std::string& value) {
  return DecodeEntry<schema::BalancerRecord>(key, value);
}

}  // namespace sesamesaddle
