#include "daemon/seed_discovery.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kSeedPrefix[] = "seeds/";
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(30);
constexpr Duration kBalancerListPeriod = std::chrono::seconds(60);
constexpr Duration kAgentListPeriod = std::chrono::minutes(10);

}  // namespace

SeedDiscovery::SeedDiscovery(Store& store, Scheduler& scheduler,
                             RandomSource& random, std::string zone,
                             const Endpoint& self, bool may_register,
                             OnSeeds on_seeds, HasPeers has_peers)
    : store_(store),
      scheduler_(scheduler),
      random_(random),
      zone_(std::move(zone)),
      self_(self),
      may_register_(may_register),
      on_seeds_(std::move(on_seeds)),
      has_peers_(std::move(has_peers)) {}

void SeedDiscovery::Start() { ListSeeds(); }

void SeedDiscovery::Release() {
  released_ = true;
  if (!own_key_.empty()) store_.Remove(own_key_, [](auto) {});
  own_key_.clear();
}

void SeedDiscovery::ListSeeds() {
  if (released_) return;
  store_.List(kSeedPrefix, [this](auto list) {
    if (list) OnSeedList(*list);
    ScheduleList();
  });
}

void SeedDiscovery::OnSeedList(const schema::KeyValueList& list) {
  std::vector<Endpoint> seeds;
  std::set<std::string> used_keys;
  for (const schema::KeyValue& item : list.items) {
    used_keys.insert(item.key);
    const auto endpoint = Endpoint::Parse(item.value);
    if (endpoint) seeds.push_back(*endpoint);
  }
  on_seeds_(seeds);
  if (!may_register_ || lease_ != kNoLease) return;
  for (int index = 0; index < kSeedsPerZone; ++index) {
    if (used_keys.count(SeedKey(index)) != 0) continue;
    RegisterSeed(SeedKey(index));
    return;
  }
}

void SeedDiscovery::ScheduleList() {
  Duration delay = may_register_ ? kBalancerListPeriod : kAgentListPeriod;
  if (!has_peers_()) {
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
    delay = backoff_;
  }
  // A random factor of 0.5 to 1.5 spreads the requests of processes that start
  // together.
  const auto jitter =
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(delay.count())));
  scheduler_.After(delay / 2 + Duration(jitter), [this] { ListSeeds(); });
}

void SeedDiscovery::RegisterSeed(const std::string& key) {
  store_.GrantLease(kLeaseTtl, [this, key](auto lease) {
    if (!lease || released_) return;
    lease_ = *lease;
    store_.Create(key, self_.ToString(), lease_, [this, key](auto created) {
      if (!created) {
        lease_ = kNoLease;  // Another process created it first.
        return;
      }
      own_key_ = key;
      ScheduleRenewal();
    });
  });
}

void SeedDiscovery::ScheduleRenewal() {
  scheduler_.After(kRenewalPeriod, [this] {
    if (released_) return;
    store_.RenewLease(lease_, [this](auto renewed) {
      const bool expired =
          !renewed && renewed.error() == StoreError::kLeaseExpired;
      if (!expired) {
        ScheduleRenewal();
        return;
      }
      // The store removed the key with the lease; another process may have
      // created it since.
      lease_ = kNoLease;
      own_key_.clear();
    });
  });
}

std::string SeedDiscovery::SeedKey(int index) const {
  return kSeedPrefix + zone_ + "/" + std::to_string(index);
}

}  // namespace sesamesaddle
