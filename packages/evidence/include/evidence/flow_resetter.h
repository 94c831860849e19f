#ifndef SESAMESADDLE_EVIDENCE_FLOW_RESETTER_H_
#define SESAMESADDLE_EVIDENCE_FLOW_RESETTER_H_

#include <cstdint>
#include <string_view>

#include "core/event_log.h"
#include "evidence/reset_evidence.h"
#include "evidence/syn_copies.h"
#include "flow_model/packet.h"

namespace sesamesaddle {

/** Sends packets of the system's own to clients. */
class ClientOutput {
 public:
  virtual ~ClientOutput() = default;
  virtual void ToClient(const Endpoint& client, std::string_view packet) = 0;
};

/** Why a flow that never opened is refused. */
enum class Refusal {
  kNoRoute,
  kNoTarget,
  kOverload,
  kZonesEvacuated,
};

/**
 * Ends flows towards clients. It is a balancer's only way to send a reset, so
 * that a flow which may be open is reset with evidence and not otherwise.
 */
class FlowResetter {
 public:
  /** All arguments must outlive the resetter. */
  FlowResetter(const PacketCodec& codec, ClientOutput& output, EventLog& log)
      : codec_(codec), output_(output), log_(log) {}

  /**
   * Resets a flow that may be open.
   * @param acknowledged  the client's latest acknowledgement number
   * @param version  configuration in force, for the log
   */
  void Reset(const Flow& flow, uint32_t acknowledged,
             const ResetEvidence& evidence, int64_t version);
  /**
   * Refuses a flow whose client has sent nothing but its SYN. The sequence
   * number of the reset is outside of the window of an open flow, but clients
   * may accept it there.
   */
  void Refuse(const Flow& flow, Refusal refusal, const AllCopiesSeen& evidence,
              int64_t version);

 private:
  const PacketCodec& codec_;
  ClientOutput& output_;
  EventLog& log_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_EVIDENCE_FLOW_RESETTER_H_
