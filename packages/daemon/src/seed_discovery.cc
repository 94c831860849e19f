#include "daemon/seed_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kSeedPrefix[] = "seeds/";
constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
constexpr Duration kLongestBackoff = std::chrono::seconds(30);
constexpr Duration kBalancerPeriod = std::chrono::seconds(60);
constexpr Duration kAgentPeriod = std::chrono::minutes(10);

}  // namespace

SeedKeeper::SeedKeeper(Store& store, Scheduler& scheduler, RandomSource& random,
                       std::string zone, const Endpoint& self, bool may_hold,
                       OnSeeds on_seeds, Connected connected)
    : store_(store),
      scheduler_(scheduler),
      random_(random),
      zone_(std::move(zone)),
      self_(self),
      may_hold_(may_hold),
      on_seeds_(std::move(on_seeds)),
      connected_(std::move(connected)) {}

void SeedKeeper::Start() { List(); }

void SeedKeeper::Release() {
  released_ = true;
  if (!held_key_.empty()) store_.Remove(held_key_, [](auto) {});
  held_key_.clear();
}

void SeedKeeper::List() {
  if (released_) return;
  store_.List(kSeedPrefix, [this](auto list) {
    if (list) OnList(*list);
    ListLater();
  });
}

void SeedKeeper::OnList(const schema::KeyValueList& list) {
  std::vector<Endpoint> seeds;
  std::set<std::string> taken;
  for (const schema::KeyValue& item : list.items) {
    taken.insert(item.key);
    const auto endpoint = Endpoint::Parse(item.value);
    if (endpoint) seeds.push_back(*endpoint);
  }
  on_seeds_(seeds);
  if (!may_hold_ || lease_ != kNoLease) return;
  for (int slot = 0; slot < kSlotsPerZone; ++slot) {
    if (taken.count(SlotKey(slot)) != 0) continue;
    TakeSlot(SlotKey(slot));
    return;
  }
}

void SeedKeeper::ListLater() {
  Duration delay = may_hold_ ? kBalancerPeriod : kAgentPeriod;
  if (!connected_()) {
    backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
    delay = backoff_;
  }
  // From half to one and a half, so that processes started together drift
  // apart.
  const auto jitter =
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(delay.count())));
  scheduler_.After(delay / 2 + Duration(jitter), [this] { List(); });
}

void SeedKeeper::TakeSlot(const std::string& key) {
  store_.GrantLease(kLease, [this, key](auto lease) {
    if (!lease || released_) return;
    lease_ = *lease;
    store_.Create(key, self_.ToString(), lease_, [this, key](auto created) {
      if (!created) {
        lease_ = kNoLease;  // Another process was faster.
        return;
      }
      held_key_ = key;
      RenewLater();
    });
  });
}

void SeedKeeper::RenewLater() {
  scheduler_.After(kRenewal, [this] {
    if (released_) return;
    store_.RenewLease(lease_, [this](auto renewed) {
      const bool expired =
          !renewed && renewed.error() == StoreError::kLeaseExpired;
      if (!expired) {
        RenewLater();
        return;
      }
      // The key went with the lease and may be another process's by now.
      lease_ = kNoLease;
      held_key_.clear();
    });
  });
}

std::string SeedKeeper::SlotKey(int slot) const {
  return kSeedPrefix + zone_ + "/" + std::to_string(slot);
}

}  // namespace sesamesaddle
