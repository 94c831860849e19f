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

/** Sends a message to another process of the system. */
struct SendToPeer {
  Endpoint to;
  schema::PeerMessage message;
};

/** Sends a datagram to a caller through the fabric. */
struct SendToCaller {
  Flow flow;
  std::string payload;
};

/** A request to the local target of an agent. */
struct TargetRequest {
  std::string service;  // Service name, which the target may check.
  std::string method;
  std::string path;
  std::string body;
  bool idempotent = true;
  Duration deadline{};
  /** Feeds only: the target responds when its state differs from this tag. */
  std::string entity_tag;
  /** Feeds only: how long the target may delay the response; otherwise zero. */
  Duration wait{};
};

/** Starts an HTTP call to the local target. */
struct StartCall {
  CallId id;
  TargetRequest request;
};

/** Cancels a call whose response is no longer needed. */
struct CancelCall {
  CallId id;
};

using Action = std::variant<SendToPeer, SendToCaller, StartCall, CancelCall>;

/** Returns a PeerMessage with the field of the message's type set. */
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

/** Collects the actions that the process performs after handling an event. */
class Outbox {
 public:
  template <typename Message>
  void Send(const Endpoint& to, Message message) {
    actions_.emplace_back(SendToPeer{to, Wrap(std::move(message))});
  }
  void Add(Action action) { actions_.push_back(std::move(action)); }
  /** Returns the actions in order and clears the outbox. */
  std::vector<Action> Take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NODE_OUTBOX_H_
