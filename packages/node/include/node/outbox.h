#ifndef SESAMESADDLE_NODE_OUTBOX_H_
#define SESAMESADDLE_NODE_OUTBOX_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "messages_types.h"

namespace sesamesaddle {

/** A message for another process of the system. */
struct SendToPeer {
  Endpoint to;
  schema::PeerMessage message;
};

/** A datagram for a caller, to be handed to the fabric. */
struct SendToCaller {
  Flow flow;
  std::string payload;
};

/** A request for the target beside an agent. */
struct TargetRequest {
  std::string service;  // Name, for the target's own checks.
  std::string method;
  std::string path;
  std::string body;
  bool idempotent = true;
  Duration deadline{};
  /** For a feed: answer when the state differs from this tag. */
  std::string entity_tag;
  Duration wait{};  // For a feed: how long the target may wait; else zero.
};

struct StartCall {
  CallId id;
  TargetRequest request;
};

/** Ends a call whose answer is of no use any more. */
struct CancelCall {
  CallId id;
};

using Action = std::variant<SendToPeer, SendToCaller, StartCall, CancelCall>;

/** Puts a message in the field of PeerMessage that carries its type. */
schema::PeerMessage Wrap(schema::Envelope message);
schema::PeerMessage Wrap(schema::Answer message);
schema::PeerMessage Wrap(schema::Misrouted message);
schema::PeerMessage Wrap(schema::DirectoryQuery message);
schema::PeerMessage Wrap(schema::DirectoryReply message);
schema::PeerMessage Wrap(schema::DirectoryUpdate message);
schema::PeerMessage Wrap(schema::DirectoryAck message);
schema::PeerMessage Wrap(schema::LoadReport message);
schema::PeerMessage Wrap(schema::RunRequest message);
schema::PeerMessage Wrap(schema::RunResult message);
schema::PeerMessage Wrap(schema::RunFetch message);
schema::PeerMessage Wrap(schema::RunCancel message);
schema::PeerMessage Wrap(schema::Handover message);
schema::PeerMessage Wrap(schema::HandoverAck message);
schema::PeerMessage Wrap(schema::Gossip message);
schema::PeerMessage Wrap(schema::ConfigurationFetch message);
schema::PeerMessage Wrap(schema::ConfigurationNews message);
schema::PeerMessage Wrap(schema::SnapshotFetch message);

/** Collects what a decision wants done; the process carries it out. */
class Outbox {
 public:
  template <typename Message>
  void Send(const Endpoint& to, Message message) {
    actions_.emplace_back(SendToPeer{to, Wrap(std::move(message))});
  }
  void Add(Action action) { actions_.push_back(std::move(action)); }
  /** @return the actions in order; the outbox is empty afterwards. */
  std::vector<Action> Take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NODE_OUTBOX_H_
