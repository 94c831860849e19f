#include "serving/answer.h"

namespace sesamesaddle {
namespace {

constexpr uint32_t kJsonFormat = 50;  // RFC 7252, section 12.3.

std::string OutcomeBody(std::string_view outcome, std::string_view reason) {
  return "{\"outcome\":\"" + std::string(outcome) + "\",\"reason\":\"" +
         std::string(reason) + "\"}";
}

}  // namespace

std::string_view Name(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kQueueFull:
      return "queue_full";
    case NotRunReason::kTooLate:
      return "too_late";
    case NotRunReason::kDeadlinePassed:
      return "deadline_passed";
    case NotRunReason::kTargetUnreachable:
      return "target_unreachable";
    case NotRunReason::kTargetShed:
      return "target_shed";
    case NotRunReason::kNoTarget:
      return "no_target";
    case NotRunReason::kAnswerExpired:
      return "answer_expired";
  }
  return "other";
}

std::string_view Name(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kDeadlinePassed:
      return "deadline_passed";
    case UnknownReason::kAnswerLost:
      return "answer_lost";
    case UnknownReason::kOwnerGone:
      return "owner_gone";
    case UnknownReason::kAnswerCut:
      return "answer_cut";
  }
  return "other";
}

coap::Message NotRunResponse(NotRunReason reason, Duration retry_after) {
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  coap::Message answer;
  answer.code = coap::Code::kServiceUnavailable;
  answer.AddUint(coap::OptionNumber::kContentFormat, kJsonFormat);
  answer.AddUint(coap::OptionNumber::kMaxAge, static_cast<uint32_t>(seconds));
  answer.payload = OutcomeBody("not_run", Name(reason));
  return answer;
}

coap::Message UnknownOutcomeResponse(UnknownReason reason) {
  coap::Message answer;
  answer.code = coap::Code::kGatewayTimeout;
  answer.AddUint(coap::OptionNumber::kContentFormat, kJsonFormat);
  answer.payload = OutcomeBody("unknown", Name(reason));
  return answer;
}

coap::Message EchoChallenge(std::string_view echo) {
  coap::Message answer;
  answer.code = coap::Code::kUnauthorized;
  answer.Add(coap::OptionNumber::kEcho, echo);
  return answer;
}

coap::Message ResponseFromHttpStatus(coap::Code method, int status) {
  coap::Message answer;
  const bool success = status >= 200 && status < 300;
  if (success) {
    switch (method) {
      case coap::Code::kGet:
        answer.code = coap::Code::kContent;
        break;
      case coap::Code::kDelete:
        answer.code = coap::Code::kDeleted;
        break;
      default:
        answer.code =
            status == 201 ? coap::Code::kCreated : coap::Code::kChanged;
    }
    return answer;
  }
  switch (status) {
    case 400:
      answer.code = coap::Code::kBadRequest;
      break;
    case 401:
    case 403:
      answer.code = coap::Code::kForbidden;
      break;
    case 404:
      answer.code = coap::Code::kNotFound;
      break;
    case 405:
      answer.code = coap::Code::kMethodNotAllowed;
      break;
    case 409:
      answer.code = coap::Code::kConflict;
      break;
    case 413:
      answer.code = coap::Code::kRequestEntityTooLarge;
      break;
    case 500:
      answer.code = coap::Code::kInternalServerError;
      break;
    case 501:
      answer.code = coap::Code::kNotImplemented;
      break;
    default:
      answer.code = coap::Code::kBadGateway;
  }
  return answer;
}

std::optional<uint32_t> ContentFormat(const std::string& media_type) {
  // RFC 7252, section 12.3.
  constexpr uint32_t kText = 0;
  constexpr uint32_t kXml = 41;
  constexpr uint32_t kOctets = 42;
  const std::string type = media_type.substr(0, media_type.find(';'));
  if (type == "text/plain") return kText;
  if (type == "application/xml") return kXml;
  if (type == "application/octet-stream") return kOctets;
  if (type == "application/json") return kJsonFormat;
  return {};
}

bool IsIdempotent(coap::Code method) { return method != coap::Code::kPost; }

std::string_view HttpMethod(coap::Code method) {
  switch (method) {
    case coap::Code::kGet:
      return "GET";
    case coap::Code::kPost:
      return "POST";
    case coap::Code::kPut:
      return "PUT";
    case coap::Code::kDelete:
      return "DELETE";
    default:
      return "";
  }
}

}  // namespace sesamesaddle
