#ifndef SESAMESADDLE_SERVING_ANSWER_H_
#define SESAMESADDLE_SERVING_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "coap/message.h"
#include "core/time.h"

namespace sesamesaddle {

/** The reason why a request was definitely not run. */
enum class NotRunReason {
  kQueueFull,
  kTooLate,
  kDeadlinePassed,
  kTargetUnreachable,
  kTargetShed,
  kNoTarget,
  kAnswerExpired,  // A later block of a response that is no longer cached.
};

/** The reason why it is unknown whether a request was run. */
enum class UnknownReason {
  kDeadlinePassed,
  kAnswerLost,
  kOwnerGone,
  kAnswerCut,
};

/** Returns the reason as written in the response, such as "queue_full". */
std::string_view Name(NotRunReason reason);
std::string_view Name(UnknownReason reason);

/**
 * Returns a 5.03 response with Max-Age and {"outcome":"not_run","reason":...}:
 * the request was not run and may be sent again after Max-Age.
 */
coap::Message NotRunResponse(NotRunReason reason, Duration retry_after);

/**
 * Returns a 5.04 response with {"outcome":"unknown","reason":...}: the request
 * may have been run.
 */
coap::Message UnknownOutcomeResponse(UnknownReason reason);

/**
 * Returns a 4.01 response with the Echo value for repeating the request, which
 * was not run.
 */
coap::Message EchoChallenge(std::string_view echo);

/**
 * Returns the CoAP response, without body, for an HTTP status of a target. The
 * codes are mapped as in RFC 8075.
 */
coap::Message ResponseFromHttpStatus(coap::Code method, int status);

/** Returns the CoAP Content-Format number of a media type, if it has one. */
std::optional<uint32_t> ContentFormat(const std::string& media_type);

/** Returns whether a request with this method may run more than once. */
bool IsIdempotent(coap::Code method);

/** Returns the HTTP method, such as "GET"; empty for other codes. */
std::string_view HttpMethod(coap::Code method);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_ANSWER_H_
