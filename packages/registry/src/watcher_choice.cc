#include "registry/watcher_choice.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hash.h"

namespace sesamesaddle {
namespace {

/** Returns the keys ordered by their hash with the seed, highest first. */
std::vector<std::string> Ranked(const std::vector<std::string>& keys,
                                uint64_t seed) {
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(keys.size());
  for (const std::string& key : keys) {
    weighted.emplace_back(Hash64(key, seed), key);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> ranked;
  ranked.reserve(keys.size());
  for (auto& [weight, key] : weighted) ranked.push_back(std::move(key));
  return ranked;
}

std::vector<std::string> SourcesOf(const std::string& member,
                                   const std::vector<std::string>& watchers) {
  std::vector<std::string> sources = Ranked(watchers, Hash64(member));
  if (sources.size() > WatcherChoice::kWatchersPerBalancer) {
    sources.resize(WatcherChoice::kWatchersPerBalancer);
  }
  return sources;
}

bool Contains(const std::vector<std::string>& keys, const std::string& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

size_t WatcherChoice::WatcherCount(size_t members) {
  const size_t by_size =
      (members + kBalancersPerWatcher - 1) / kBalancersPerWatcher;
  return std::min(members, std::max(kMinWatchers, by_size));
}

WatchRole WatcherChoice::role() const {
  if (!watches_) return WatchRole::kFollower;
  return followers_.empty() ? WatchRole::kForItself : WatchRole::kForOthers;
}

void WatcherChoice::Update(const std::string& self,
                           std::vector<std::string> members) {
  if (!Contains(members, self)) members.push_back(self);
  std::vector<std::string> watchers = Ranked(members, 0);
  watchers.resize(WatcherCount(members.size()));
  watches_ = Contains(watchers, self);
  followers_.clear();
  sources_.clear();
  if (!watches_) {
    sources_ = SourcesOf(self, watchers);
    return;
  }
  for (const std::string& member : members) {
    if (Contains(watchers, member)) continue;
    if (Contains(SourcesOf(member, watchers), self)) {
      followers_.push_back(member);
    }
  }
}

}  // namespace sesamesaddle
