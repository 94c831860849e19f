#include "steering_daemon/replica_exchange.h"

#include <iterator>

#include "registry/replica_position.h"
#include "schema/codec.h"
#include "steering_daemon/status_server.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "replica";

}  // namespace

ReplicaExchange::ReplicaExchange(EventLoop& loop, RandomSource& random,
                                 EventLog& log, ReplicaFollower& follower,
                                 std::string own_key, Send send)
    : loop_(loop),
      random_(random),
      log_(log),
      follower_(follower),
      own_key_(std::move(own_key)),
      send_(std::move(send)),
      // A reply to an earlier process at this address may still arrive.
      token_(static_cast<int64_t>(random.Next() >> 1)) {
  follower_.SetRevisionSource(*this);
}

void ReplicaExchange::AddPeer(const std::string& key, const Endpoint& control,
                              const Endpoint& replica) {
  peers_[key] = {control, replica};
  ChooseWatchers();
}

void ReplicaExchange::RemovePeer(const std::string& key) {
  if (peers_.erase(key) > 0) ChooseWatchers();
}

void ReplicaExchange::ChooseWatchers() {
  std::vector<std::string> members;
  members.reserve(peers_.size() + 1);
  for (const auto& [key, peer] : peers_) members.push_back(key);
  members.push_back(own_key_);
  choice_.Update(own_key_, std::move(members));
  const bool watched = follower_.role() != WatchRole::kFollower;
  follower_.SetRole(choice_.role());
  if (choice_.watches() == watched) return;
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          choice_.watches() ? "watches-store" : "follows-watchers")
      .Add("balancers", peers_.size() + 1)
      .Add("followers", choice_.followers().size());
}

schema::SteeringMessage ReplicaExchange::VersionMessage() const {
  schema::SteeringMessage message;
  message.__set_version(follower_.Version());
  return message;
}

void ReplicaExchange::SendVersion(const Endpoint& control) {
  send_(control, VersionMessage());
}

void ReplicaExchange::SendChanges() {
  const TimePoint now = loop_.Now();
  const StoreRevision revision = follower_.directory_revision();
  if (revision == sent_revision_ && now - last_sign_ < kSignPeriod) return;
  if (choice_.followers().empty()) return;
  auto changes = follower_.ChangesForFollowers();
  if (!changes) return;
  sent_revision_ = revision;
  last_sign_ = now;
  schema::SteeringMessage message;
  message.__set_changes(*changes);
  for (const std::string& key : choice_.followers()) {
    const auto peer = peers_.find(key);
    if (peer != peers_.end()) send_(peer->second.control, message);
  }
}

void ReplicaExchange::OnRevisionQuery(const Endpoint& control,
                                      const schema::RevisionQuery& query) {
  queries_.push_back({control, query.token});
  ReadRevisionForOthers();
}

void ReplicaExchange::ReadRevisionForOthers() {
  if (reading_revision_ || queries_.empty()) return;
  const TimePoint now = loop_.Now();
  if (now - last_read_ < kMinReadInterval) {
    read_timer_ = loop_.After(kMinReadInterval - (now - last_read_),
                              [this] { ReadRevisionForOthers(); });
    return;
  }
  last_read_ = now;
  reading_revision_ = true;
  // Only the queries that came before the read began are answered by it.
  follower_.ReadRevision([this, queries = std::exchange(queries_, {})](
                             std::optional<StoreRevision> revision) {
    reading_revision_ = false;
    for (const WaitingQuery& query : queries) {
      if (!revision) break;  // They read it themselves after a timeout.
      schema::SteeringMessage message;
      schema::RevisionReply reply;
      reply.token = query.token;
      reply.era = revision->era.value();
      reply.revision = revision->number;
      message.__set_revision_reply(reply);
      send_(query.control, message);
    }
    ReadRevisionForOthers();
  });
}

bool ReplicaExchange::ReadRevision(Done done) {
  for (const std::string& key : choice_.sources()) {
    const auto peer = peers_.find(key);
    if (peer == peers_.end()) continue;
    pending_done_ = std::move(done);
    schema::SteeringMessage message;
    schema::RevisionQuery query;
    query.token = ++token_;
    message.__set_revision_query(query);
    send_(peer->second.control, message);
    revision_timer_ = loop_.After(kRevisionTimeout, [this] {
      if (pending_done_) std::exchange(pending_done_, nullptr)(std::nullopt);
    });
    return true;
  }
  return false;
}

void ReplicaExchange::OnRevisionReply(const schema::RevisionReply& reply) {
  if (!pending_done_ || reply.token != token_) return;
  revision_timer_.Cancel();
  std::exchange(pending_done_,
                nullptr)(StoreRevision{StoreEra(reply.era), reply.revision});
}

void ReplicaExchange::RunRound() {
  if (!follower_.loaded() && !seeds_.empty()) {
    FetchSnapshot(seeds_[random_.Below(seeds_.size())]);
  }
  if (follower_.loaded()) SendToRandomPeers(VersionMessage());
}

void ReplicaExchange::SendToRandomPeers(
    const schema::SteeringMessage& message) {
  for (int i = 0; i < kPeersPerRound && !peers_.empty(); ++i) {
    const auto peer = std::next(
        peers_.begin(), static_cast<ptrdiff_t>(random_.Below(peers_.size())));
    send_(peer->second.control, message);
  }
}

void ReplicaExchange::OnPeerVersion(const Endpoint& control,
                                    const Endpoint& replica,
                                    const schema::ReplicaVersion& version) {
  const ReplicaPosition own(follower_.Version());
  const ReplicaPosition peer(version);
  if (own.ConfigurationIsNewerThan(peer)) {
    SendVersion(control);
    return;
  }
  // A replica that follows the store lags by at most one watch and needs no
  // snapshot.
  const bool behind = peer.ConfigurationIsNewerThan(own) ||
                      (!follower_.current() && peer.directory > own.directory);
  if (behind) FetchSnapshot(replica);
}

void ReplicaExchange::FetchSnapshot(const Endpoint& replica) {
  if (fetch_call_ != nullptr) return;
  HttpRequest request;
  request.method = "GET";
  request.path = kReplicaPath;
  fetch_timer_ = loop_.After(kFetchTimeout, [this, replica] {
    fetch_call_.reset();
    LogLine(log_, EventKind::kDependency, kLogComponent, "peer-silent")
        .Add("peer", replica);
  });
  fetch_call_ = HttpClientFor(replica).Call(
      request, ConnectionUse::kFresh, [this](HttpResult result) {
        // Deferred, as the call object is still in use during this callback.
        loop_.Post([this, result = std::move(result)] {
          fetch_timer_.Cancel();
          fetch_call_.reset();
          if (!result.complete || result.response.status != 200) return;
          const auto snapshot =
              DecodeCompact<schema::ReplicaSnapshot>(result.response.body);
          if (snapshot) follower_.ApplySnapshot(*snapshot);
        });
      });
}

HttpClient& ReplicaExchange::HttpClientFor(const Endpoint& replica) {
  auto& client = clients_[replica];
  if (client == nullptr) client = std::make_unique<HttpClient>(loop_, replica);
  return *client;
}

}  // namespace sesamesaddle
