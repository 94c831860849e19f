#include "steering_daemon/replica_exchange.h"

#include <iterator>

#include "schema/codec.h"
#include "steering_daemon/inspection.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "replica";

}  // namespace

ReplicaExchange::ReplicaExchange(EventLoop& loop, RandomSource& random,
                                 EventLog& log, ReplicaFollower& follower,
                                 SendVersion send)
    : loop_(loop),
      random_(random),
      log_(log),
      follower_(follower),
      send_(std::move(send)) {}

void ReplicaExchange::AddPeer(const std::string& key, const Endpoint& control,
                              const Endpoint& replica) {
  peers_[key] = {control, replica};
}

void ReplicaExchange::RemovePeer(const std::string& key) { peers_.erase(key); }

schema::ReplicaVersion ReplicaExchange::OwnVersion() const {
  schema::ReplicaVersion version;
  version.directory_revision = follower_.directory_revision();
  version.configuration_revision = follower_.configuration_revision();
  return version;
}

void ReplicaExchange::OnPeriod() {
  if (!follower_.loaded() && !seeds_.empty()) {
    CopyFrom(seeds_[random_.Below(seeds_.size())]);
  }
  if (peers_.empty() || !follower_.loaded()) return;
  for (int i = 0; i < kPeersPerPeriod; ++i) {
    const auto peer = std::next(
        peers_.begin(), static_cast<ptrdiff_t>(random_.Below(peers_.size())));
    send_(peer->second.control, OwnVersion());
  }
}

void ReplicaExchange::OnVersion(const Endpoint& control,
                                const Endpoint& replica,
                                const schema::ReplicaVersion& version) {
  const schema::ReplicaVersion own = OwnVersion();
  if (version.configuration_revision < own.configuration_revision) {
    send_(control, own);
    return;
  }
  // Whoever follows the store is at most a watch behind, and needs no copy.
  const bool behind =
      version.configuration_revision > own.configuration_revision ||
      (!follower_.current() &&
       version.directory_revision > own.directory_revision);
  if (behind) CopyFrom(replica);
}

void ReplicaExchange::CopyFrom(const Endpoint& replica) {
  if (call_ != nullptr) return;
  HttpRequest request;
  request.method = "GET";
  request.path = kReplicaPath;
  timeout_ = loop_.After(kCopyTimeout, [this, replica] {
    call_.reset();
    LogLine(log_, EventKind::kDependency, kPart, "peer-silent")
        .Add("peer", replica);
  });
  call_ = ClientOf(replica).Call(
      request, ConnectionUse::kFresh, [this](HttpResult result) {
        // The call object is still in use by its caller here.
        loop_.Post([this, result = std::move(result)] {
          timeout_.Cancel();
          call_.reset();
          if (!result.complete || result.response.status != 200) return;
          const auto snapshot =
              DecodeCompact<schema::ReplicaSnapshot>(result.response.body);
          if (snapshot) follower_.TakeSnapshot(*snapshot);
        });
      });
}

HttpClient& ReplicaExchange::ClientOf(const Endpoint& replica) {
  auto& client = clients_[replica];
  if (client == nullptr) client = std::make_unique<HttpClient>(loop_, replica);
  return *client;
}

}  // namespace sesamesaddle
