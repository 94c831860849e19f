#include "balancer/datagram_queue.h"

#include <utility>

namespace sesamesaddle {
namespace {

// Datagrams per lane in a round, from low to high priority.
constexpr std::array<int, 3> kWeights = {1, 4, 16};

}  // namespace

bool DatagramQueue::Push(schema::Priority::type priority,
                         WaitingDatagram datagram) {
  const auto lane = static_cast<size_t>(priority);
  const bool full = size_ >= capacity_;
  if (full && !EvictAtOrBelow(lane)) return false;
  lanes_[lane].push_back(std::move(datagram));
  ++size_;
  return !full;
}

bool DatagramQueue::EvictAtOrBelow(size_t lane) {
  for (size_t i = 0; i <= lane; ++i) {
    if (lanes_[i].empty()) continue;
    lanes_[i].pop_front();
    --size_;
    return true;
  }
  return false;
}

std::optional<WaitingDatagram> DatagramQueue::Pop() {
  if (size_ == 0) return {};
  // At most two passes: the second one with renewed credit.
  while (true) {
    for (size_t i = kLanes; i > 0; --i) {
      auto& lane = lanes_[i - 1];
      if (lane.empty() || credit_[i - 1] == 0) continue;
      --credit_[i - 1];
      WaitingDatagram datagram = std::move(lane.front());
      lane.pop_front();
      --size_;
      return datagram;
    }
    credit_ = kWeights;
  }
}

}  // namespace sesamesaddle
