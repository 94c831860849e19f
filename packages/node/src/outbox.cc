#include "node/outbox.h"

namespace sesamesaddle {
namespace {

template <typename Message>
schema::PeerMessage WrapAs(void (schema::PeerMessage::*setter)(const Message&),
                           const Message& message) {
  schema::PeerMessage wrapped;
  (wrapped.*setter)(message);
  return wrapped;
}

}  // namespace

schema::PeerMessage Wrap(schema::Envelope message) {
  return WrapAs(&schema::PeerMessage::__set_envelope, message);
}
schema::PeerMessage Wrap(schema::Answer message) {
  return WrapAs(&schema::PeerMessage::__set_answer, message);
}
schema::PeerMessage Wrap(schema::Misrouted message) {
  return WrapAs(&schema::PeerMessage::__set_misrouted, message);
}
schema::PeerMessage Wrap(schema::DirectoryQuery message) {
  return WrapAs(&schema::PeerMessage::__set_directory_query, message);
}
schema::PeerMessage Wrap(schema::DirectoryReply message) {
  return WrapAs(&schema::PeerMessage::__set_directory_reply, message);
}
schema::PeerMessage Wrap(schema::DirectoryUpdate message) {
  return WrapAs(&schema::PeerMessage::__set_directory_update, message);
}
schema::PeerMessage Wrap(schema::DirectoryAck message) {
  return WrapAs(&schema::PeerMessage::__set_directory_ack, message);
}
schema::PeerMessage Wrap(schema::LoadReport message) {
  return WrapAs(&schema::PeerMessage::__set_load_report, message);
}
schema::PeerMessage Wrap(schema::RunRequest message) {
  return WrapAs(&schema::PeerMessage::__set_run_request, message);
}
schema::PeerMessage Wrap(schema::RunResult message) {
  return WrapAs(&schema::PeerMessage::__set_run_result, message);
}
schema::PeerMessage Wrap(schema::RunFetch message) {
  return WrapAs(&schema::PeerMessage::__set_run_fetch, message);
}
schema::PeerMessage Wrap(schema::RunCancel message) {
  return WrapAs(&schema::PeerMessage::__set_run_cancel, message);
}
schema::PeerMessage Wrap(schema::Handover message) {
  return WrapAs(&schema::PeerMessage::__set_handover, message);
}
schema::PeerMessage Wrap(schema::HandoverAck message) {
  return WrapAs(&schema::PeerMessage::__set_handover_ack, message);
}
schema::PeerMessage Wrap(schema::Gossip message) {
  return WrapAs(&schema::PeerMessage::__set_gossip, message);
}
schema::PeerMessage Wrap(schema::ConfigurationFetch message) {
  return WrapAs(&schema::PeerMessage::__set_configuration_fetch, message);
}
schema::PeerMessage Wrap(schema::ConfigurationNews message) {
  return WrapAs(&schema::PeerMessage::__set_configuration_news, message);
}
schema::PeerMessage Wrap(schema::SnapshotFetch message) {
  return WrapAs(&schema::PeerMessage::__set_snapshot_fetch, message);
}

}  // namespace sesamesaddle
