#include "agent/directory_registrar.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

using Entries = std::vector<schema::DirectoryEntry>;

/** Moves up to `limit` entries from the front of `from`. */
Entries TakeFront(Entries& from, size_t limit) {
  const auto count = static_cast<ptrdiff_t>(std::min(from.size(), limit));
  Entries taken(from.begin(), from.begin() + count);
  from.erase(from.begin(), from.begin() + count);
  return taken;
}

}  // namespace

void DirectoryRegistrar::Register(MemberId home,
                                  const schema::DirectoryEntry& entry) {
  queued_changes_[home].entries.push_back(entry);
}

void DirectoryRegistrar::Remove(MemberId home,
                                const schema::DirectoryEntry& entry) {
  queued_changes_[home].removed.push_back(entry);
}

void DirectoryRegistrar::OnAck(const schema::DirectoryAck& ack) {
  const auto it = in_flight_.find(ack.batch);
  if (it == in_flight_.end()) return;
  --in_flight_count_[it->second.home];
  in_flight_.erase(it);
}

void DirectoryRegistrar::OnTick(TimePoint now, Outbox& out) {
  for (auto it = queued_changes_.begin(); it != queued_changes_.end();) {
    StartBatches(now, it->first, it->second, out);
    const bool done = it->second.entries.empty() && it->second.removed.empty();
    it = done ? queued_changes_.erase(it) : std::next(it);
  }
  for (auto& [batch, in_flight] : in_flight_) {
    if (now >= in_flight.next_send) Send(now, in_flight, out);
  }
}

void DirectoryRegistrar::ForgetHomeAgent(MemberId home) {
  queued_changes_.erase(home);
  in_flight_count_.erase(home);
  for (auto it = in_flight_.begin(); it != in_flight_.end();) {
    it = it->second.home == home ? in_flight_.erase(it) : std::next(it);
  }
}

void DirectoryRegistrar::StartBatches(TimePoint now, MemberId home,
                                      QueuedChanges& queued, Outbox& out) {
  size_t& count = in_flight_count_[home];
  while (count < kBatchesInFlight &&
         !(queued.entries.empty() && queued.removed.empty())) {
    InFlight batch;
    batch.home = home;
    batch.update.batch = next_batch_++;
    batch.update.sender = control_.self_id().value();
    batch.update.entries = TakeFront(queued.entries, kEntriesPerBatch);
    batch.update.removed = TakeFront(
        queued.removed, kEntriesPerBatch - batch.update.entries.size());
    Send(now, batch, out);
    ++count;
    in_flight_.emplace(batch.update.batch, std::move(batch));
  }
}

void DirectoryRegistrar::Send(TimePoint now, InFlight& batch, Outbox& out) {
  batch.next_send = now + kRetryInterval;
  const Member* home = control_.membership().Find(batch.home);
  if (home != nullptr) out.Send(home->endpoint(), batch.update);
}

}  // namespace sesamesaddle
