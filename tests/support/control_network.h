#ifndef SESAMESADDLE_TESTS_SUPPORT_CONTROL_NETWORK_H_
#define SESAMESADDLE_TESTS_SUPPORT_CONTROL_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "node/control_plane.h"
#include "schema/codec.h"

namespace sesamesaddle {

/**
 * Simulates control planes (membership and configuration) on a virtual clock
 * and a lossy in-memory network, for tests and scaling measurements.
 */
class ControlNetwork {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(2);
  static constexpr Duration kTick = std::chrono::milliseconds(50);

  /** Messages sent by one process. */
  struct Traffic {
    int64_t messages = 0;
    int64_t bytes = 0;
    int64_t bytes_this_second = 0;
    int64_t peak_bytes_per_second = 0;
  };

  explicit ControlNetwork(uint64_t seed,
                          MembershipOptions options = MembershipOptions())
      : random_(seed), options_(options) {}

  uint64_t loss_percent = 0;
  /** Counts bytes as well; encodes each message to do so. */
  bool count_bytes = false;

  size_t Add(schema::Role::type role = schema::Role::kBalancer,
             const std::string& zone = "z") {
    auto node = std::make_unique<Node>();
    node->role = role;
    node->zone = zone;
    nodes_.push_back(std::move(node));
    Start(nodes_.size() - 1);
    return nodes_.size() - 1;
  }

  void Kill(size_t i) { nodes_[i]->running = false; }
  void Restart(size_t i) { Start(i); }
  /** Partitions the first `count` processes from the rest; 0 ends it. */
  void Split(size_t count) { split_ = count; }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) Step();
  }

  /** Runs until `done` returns true, checked every 100 ms, at most `limit`.
   * @return the elapsed time. */
  Duration RunUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint start = now_;
    while (!done() && now_ - start < limit) {
      RunFor(std::chrono::milliseconds(100));
    }
    return now_ - start;
  }

  void Record(size_t at, const schema::ChangeRecord& record) {
    Outbox out;
    nodes_[at]->control->OnRecord(record, out);
    SendOutbox(at, out);
  }

  /** Sends the messages in `out`, which must hold SendToPeer actions only. */
  void SendOutbox(size_t from, Outbox& out) {
    for (const Action& action : out.Take()) {
      const auto& send = std::get<SendToPeer>(action);
      Count(*nodes_[from], send.message);
      if (random_.Below(100) < loss_percent) continue;
      const Duration delay(300 + static_cast<int64_t>(random_.Below(1500)));
      packets_.emplace(now_ + delay, Packet{from, send.to, send.message});
    }
  }

  /** Returns whether every running process lists exactly the running ones. */
  bool Converged() const {
    const size_t running = Running();
    for (const auto& node : nodes_) {
      if (!node->running) continue;
      const Membership& members = node->control->membership();
      if (members.present_count() + 1 != running) return false;
    }
    for (const auto& node : nodes_) {
      if (!node->running) continue;
      // All counts match, so only one process's list is compared in detail.
      for (const auto& other : nodes_) {
        const MemberId id = other->control->self_id();
        const Member* member = node->control->membership().Find(id);
        const bool present = member != nullptr && member->present();
        if (other != node && present != other->running) return false;
      }
      break;
    }
    return true;
  }

  /** Returns the number of running processes at `revision` or later. */
  size_t CountAtRevision(Revision revision) const {
    size_t count = 0;
    for (const auto& node : nodes_) {
      count += static_cast<size_t>(
          node->running && !(node->control->replica().revision() < revision));
    }
    return count;
  }

  size_t Running() const {
    size_t count = 0;
    for (const auto& node : nodes_) count += static_cast<size_t>(node->running);
    return count;
  }

  Traffic Total() const {
    Traffic total;
    for (const auto& node : nodes_) {
      total.messages += node->traffic.messages;
      total.bytes += node->traffic.bytes;
      total.peak_bytes_per_second = std::max(
          total.peak_bytes_per_second, node->traffic.peak_bytes_per_second);
    }
    return total;
  }
  void ResetTraffic() {
    for (auto& node : nodes_) node->traffic = Traffic();
  }

  size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  ControlPlane& node(size_t i) { return *nodes_[i]->control; }

 private:
  struct Node {
    std::unique_ptr<ControlPlane> control;
    schema::Role::type role = schema::Role::kBalancer;
    std::string zone;
    bool running = true;
    TimePoint next_tick;
    Traffic traffic;
  };
  struct Packet {
    size_t from;
    Endpoint to;
    schema::PeerMessage message;
  };

  static Endpoint Address(size_t i) {
    constexpr size_t kPorts = 60000;
    return {INADDR_LOOPBACK + static_cast<uint32_t>(i / kPorts),
            static_cast<uint16_t>(1000 + i % kPorts)};
  }
  static size_t IndexOf(const Endpoint& address) {
    constexpr size_t kPorts = 60000;
    return (address.ip() - INADDR_LOOPBACK) * kPorts + (address.port() - 1000U);
  }

  void Start(size_t i) {
    Node& node = *nodes_[i];
    schema::MemberRecord record;
    record.name = "instance-" + std::to_string(i);
    record.role = node.role;
    record.zone = node.zone;
    record.endpoint = Address(i).Pack();
    record.admin = Address(i).Pack();
    record.slots = 3;
    record.state = schema::MemberState::kAlive;
    record.born_ms = now_.time_since_epoch().count() / 1000;
    record.id = MakeMemberId(record.name, record.born_ms).value();
    node.control = std::make_unique<ControlPlane>(record, options_, random_);
    node.control->membership().AddSeeds({Address(0), Address(1), Address(2)});
    node.running = true;
    node.next_tick = now_ + Duration(random_.Below(kTick.count()));
  }

  void Step() {
    now_ += kStep;
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      const auto packet = packets_.extract(packets_.begin());
      Deliver(packet.mapped());
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = *nodes_[i];
      if (!node.running || now_ < node.next_tick) continue;
      node.next_tick = now_ + kTick;
      Outbox out;
      node.control->OnTick(now_, out);
      SendOutbox(i, out);
    }
    if (now_ < next_second_) return;
    next_second_ = now_ + std::chrono::seconds(1);
    for (auto& node : nodes_) {
      Traffic& traffic = node->traffic;
      traffic.peak_bytes_per_second =
          std::max(traffic.peak_bytes_per_second, traffic.bytes_this_second);
      traffic.bytes_this_second = 0;
    }
  }

  void Deliver(const Packet& packet) {
    const size_t to = IndexOf(packet.to);
    if (to >= nodes_.size() || !nodes_[to]->running) return;
    if (split_ != 0 && (to < split_) != (packet.from < split_)) return;
    Outbox out;
    nodes_[to]->control->OnMessage(now_, Address(packet.from), packet.message,
                                   out);
    SendOutbox(to, out);
  }

  void Count(Node& node, const schema::PeerMessage& message) const {
    ++node.traffic.messages;
    if (!count_bytes) return;
    const auto bytes = static_cast<int64_t>(EncodeCompact(message).size());
    node.traffic.bytes += bytes;
    node.traffic.bytes_this_second += bytes;
  }

  SeededRandom random_;
  MembershipOptions options_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::multimap<TimePoint, Packet> packets_;
  size_t split_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  TimePoint next_second_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_CONTROL_NETWORK_H_
