#include "agent/peer_request_table.h"

#include <utility>

namespace sesamesaddle {

PeerRequestTable::Request* PeerRequestTable::Find(MemberId sender,
                                                  int64_t call) {
  const auto it = requests_.find({sender, call});
  return it == requests_.end() ? nullptr : &it->second;
}

PeerRequestTable::Request* PeerRequestTable::FindRunning(CallId local_call) {
  const auto it = running_.find(local_call);
  return it == running_.end() ? nullptr : &requests_.at(it->second);
}

PeerRequestTable::Request& PeerRequestTable::Add(Request request) {
  const Key key{request.sender, request.call};
  if (request.local_call != CallId()) running_[request.local_call] = key;
  return requests_[key] = std::move(request);
}

void PeerRequestTable::Finish(TimePoint now, Request& request,
                              schema::RunOutcome::type outcome, Outbox& out) {
  request.outcome = outcome;
  request.finished_at = now;
  running_.erase(request.local_call);
  SendResult(request, 0, out);
}

void PeerRequestTable::SendResult(const Request& request, int32_t offset,
                                  Outbox& out) const {
  schema::RunResult result;
  result.call = request.call;
  result.sender = self_.value();
  result.outcome = request.outcome;
  result.status = request.status;
  result.total_bytes = static_cast<int32_t>(request.body.size());
  result.offset = offset;
  if (offset >= 0 && static_cast<size_t>(offset) < request.body.size()) {
    result.part = request.body.substr(static_cast<size_t>(offset), kPartBytes);
  }
  result.content_type = request.content_type;
  result.entity_tag = request.entity_tag;
  out.Send(request.sender_endpoint, std::move(result));
}

std::vector<CallId> PeerRequestTable::Expired(TimePoint now) const {
  std::vector<CallId> expired;
  for (const auto& [local_call, key] : running_) {
    if (requests_.at(key).deadline <= now) expired.push_back(local_call);
  }
  return expired;
}

void PeerRequestTable::Expire(TimePoint now) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    Request& request = it->second;
    const bool running = request.outcome == schema::RunOutcome::kAccepted;
    const Duration age = now - request.finished_at;
    if (!running && age > kRetention) {
      it = requests_.erase(it);
      continue;
    }
    if (!running && age > kBodyRetention && !request.body.empty()) {
      request.body.clear();
      request.outcome = schema::RunOutcome::kUnknown;
    }
    ++it;
  }
}

}  // namespace sesamesaddle
