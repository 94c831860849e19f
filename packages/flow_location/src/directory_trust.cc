#include "flow_location/directory_trust.h"

#include <algorithm>
#include <iterator>

namespace sesamesaddle {

void DirectoryTrust::OnDirectoryRead(TimePoint now, StoreRevision revision) {
  if (since_) return;
  since_ = now;
  first_revision_ = revision;
}

void DirectoryTrust::OnReport(TimePoint now, Duration target_known) {
  const Duration since_read = since_ ? now - *since_ : Duration::zero();
  reported_ = true;
  if (target_known >= kRewriteTime + since_read) any_survived_ = true;
}

void DirectoryTrust::OnUnlistedReport(TimePoint now, const Endpoint& agent) {
  for (auto it = unlisted_.begin(); it != unlisted_.end();) {
    it = now >= it->second ? unlisted_.erase(it) : std::next(it);
  }
  TimePoint& until = unlisted_[agent];
  until = std::max(until, now + kRewriteTime);
}

void DirectoryTrust::OnUnlistedAgent(TimePoint now, const Endpoint& agent) {
  unlisted_[agent] = now + entry_return_time_;
}

bool DirectoryTrust::OnPeerList(TimePoint now, StoreRevision revision) {
  if (!since_ || revision < first_revision_) return false;
  if (!completed_by_peer_) completed_by_peer_ = now;
  return true;
}

bool DirectoryTrust::LacksAgent(TimePoint now, const Endpoint& agent) const {
  const auto it = unlisted_.find(agent);
  return it != unlisted_.end() && now < it->second;
}

std::vector<Endpoint> DirectoryTrust::UnlistedAgents(TimePoint now) const {
  std::vector<Endpoint> agents;
  for (const auto& [agent, until] : unlisted_) {
    if (now < until) agents.push_back(agent);
  }
  return agents;
}

bool DirectoryTrust::KnowsAllAgents(TimePoint now) const {
  return completed_by_peer_ || (since_ && now - *since_ >= entry_return_time_);
}

bool DirectoryTrust::Covers(TimePoint as_of) const {
  if (!since_) return false;
  const bool incomplete =
      std::any_of(unlisted_.begin(), unlisted_.end(),
                  [as_of](const auto& agent) { return as_of < agent.second; });
  if (incomplete) return false;
  const bool fleet_restarted = reported_ && !any_survived_;
  if (fleet_restarted || as_of - *since_ >= entry_return_time_) return true;
  return completed_by_peer_ && as_of >= *completed_by_peer_ &&
         as_of - *since_ >= kRewriteTime;
}

}  // namespace sesamesaddle
