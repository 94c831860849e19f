#ifndef SESAMESADDLE_TESTS_SUPPORT_GOSSIP_NETWORK_H_
#define SESAMESADDLE_TESTS_SUPPORT_GOSSIP_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "membership/membership.h"

namespace sesamesaddle {

/** Simulates memberships on a virtual clock and a lossy in-memory network. */
class GossipNetwork {
 public:
  explicit GossipNetwork(uint64_t seed,
                         MembershipOptions options = MembershipOptions())
      : random_(seed), options_(options) {}

  uint64_t loss_percent = 0;
  /** Called for each message sent, lost ones included. */
  std::function<void(size_t from, const schema::Gossip&)> on_send;

  /** Adds a process whose seeds are the first two.
   * @return its index. */
  size_t Add() {
    nodes_.push_back(std::make_unique<Node>());
    Start(nodes_.size() - 1);
    return nodes_.size() - 1;
  }

  void Kill(size_t i) { nodes_[i]->running = false; }
  void Pause(size_t i) { nodes_[i]->paused = true; }
  void Resume(size_t i) { nodes_[i]->paused = false; }
  void Leave(size_t i) {
    if (!nodes_[i]->running) return;
    std::vector<OutgoingGossip> out;
    nodes_[i]->membership->Leave(now_, Revision(), out);
    Send(i, out);
    nodes_[i]->running = false;
  }
  /** Restarts a process at its address without a leave message. */
  void Restart(size_t i) { Start(i); }
  /** Partitions the first `count` processes from the rest. */
  void Split(size_t count) { split_ = count; }
  void Heal() { split_ = 0; }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      DeliverDue();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        // The ticks of different processes are not aligned.
        if (!Active(i) || now_ < nodes_[i]->next_tick) continue;
        nodes_[i]->next_tick = now_ + kTick;
        std::vector<OutgoingGossip> out;
        nodes_[i]->membership->OnTick(now_, Revision(), out);
        Send(i, out);
      }
    }
  }

  /** Returns whether every active process lists exactly the active ones. */
  bool Converged() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!Active(i)) continue;
      size_t others = 0;
      for (size_t j = 0; j < nodes_.size(); ++j) {
        if (j == i || !Active(j)) continue;
        ++others;
        const Member* member = nodes_[i]->membership->Find(id(j));
        if (member == nullptr || !member->present()) return false;
      }
      if (Present(i) != others) return false;
    }
    return true;
  }

  size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  size_t Present(size_t i) const {
    return nodes_[i]->membership->present_count();
  }
  Membership& member(size_t i) { return *nodes_[i]->membership; }
  MemberId id(size_t i) const { return nodes_[i]->membership->self_id(); }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kTick = std::chrono::milliseconds(50);

  struct Node {
    std::unique_ptr<Membership> membership;
    bool running = true;
    bool paused = false;
    TimePoint next_tick;
  };
  struct Packet {
    size_t from;
    Endpoint to;
    schema::Gossip gossip;
  };

  static Endpoint Address(size_t i) {
    return {INADDR_LOOPBACK + static_cast<uint32_t>(i / 60000),
            static_cast<uint16_t>(1000 + i % 60000)};
  }

  bool Active(size_t i) const {
    return nodes_[i]->running && !nodes_[i]->paused;
  }

  void Start(size_t i) {
    schema::MemberRecord record;
    record.name = "node-" + std::to_string(i);
    record.endpoint = Address(i).Pack();
    record.zone = "zone";
    record.born_ms = now_.time_since_epoch().count() / 1000;
    record.id = MakeMemberId(record.name, record.born_ms).value();
    nodes_[i]->membership =
        std::make_unique<Membership>(record, options_, random_);
    nodes_[i]->membership->AddSeeds({Address(0), Address(1)});
    nodes_[i]->running = true;
    nodes_[i]->paused = false;
    nodes_[i]->next_tick = now_ + Duration(random_.Below(kTick.count()));
  }

  void Send(size_t from, std::vector<OutgoingGossip>& out) {
    for (OutgoingGossip& send : out) {
      if (on_send) on_send(from, send.gossip);
      if (random_.Below(100) < loss_percent) continue;
      const Duration delay(300 + static_cast<int64_t>(random_.Below(3000)));
      packets_.emplace(now_ + delay,
                       Packet{from, send.to, std::move(send.gossip)});
    }
  }

  void DeliverDue() {
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      const Packet packet = std::move(packets_.begin()->second);
      packets_.erase(packets_.begin());
      const size_t to = IndexOf(packet.to);
      if (to >= nodes_.size() || !Active(to)) continue;
      if (split_ != 0 && (to < split_) != (packet.from < split_)) continue;
      std::vector<OutgoingGossip> out;
      nodes_[to]->membership->OnGossip(now_, Address(packet.from),
                                       packet.gossip, Revision(), out);
      Send(to, out);
    }
  }

  static size_t IndexOf(const Endpoint& address) {
    return size_t{address.ip() - INADDR_LOOPBACK} * 60000 +
           (address.port() - 1000);
  }

  SeededRandom random_;
  MembershipOptions options_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::multimap<TimePoint, Packet> packets_;
  size_t split_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_GOSSIP_NETWORK_H_
