#ifndef SESAMESADDLE_SERVING_ANSWER_H_
#define SESAMESADDLE_SERVING_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "coap/message.h"
#include "core/time.h"

namespace sesamesaddle {

/** Why a request was certainly not run. */
enum class NotRunReason {
  kQueueFull,
  kTooLate,
  kDeadlinePassed,
  kTargetUnreachable,
  kTargetShed,
  kNoTarget,
  kAnswerExpired,  // A later block was asked for of an answer not kept.
};

/** Why it is not known whether a request was run. */
enum class UnknownReason {
  kDeadlinePassed,
  kAnswerLost,
  kOwnerGone,
  kAnswerCut,
};

/** @return the reason as it stands in the answer, such as "queue_full". */
std::string_view Name(NotRunReason reason);
std::string_view Name(UnknownReason reason);

/**
 * 5.03 with Max-Age and {"outcome":"not_run","reason":...}: the request was not
 * run and may be sent again after Max-Age.
 */
coap::Message NotRunResponse(NotRunReason reason, Duration retry_after);

/** 5.04 with {"outcome":"unknown","reason":...}: it may have been run. */
coap::Message UnknownOutcomeResponse(UnknownReason reason);

/** 4.01 with an Echo value to repeat the request with; nothing was run. */
coap::Message EchoChallenge(std::string_view echo);

/** @return the answer of a target (RFC 8075 gives the codes), without body. */
coap::Message ResponseFromHttpStatus(coap::Code method, int status);

/** @return the CoAP Content-Format of a media type, if it has a number. */
std::optional<uint32_t> ContentFormat(const std::string& media_type);

/** Whether a request of that method may run more than once. */
bool IsIdempotent(coap::Code method);

/** @return "GET" for coap::Code::kGet, and so on; empty for no method. */
std::string_view HttpMethod(coap::Code method);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_ANSWER_H_
