#include "caller.h"

#include <cstdio>
#include <cstring>

#include "core/hash.h"
#include "large_body.h"

namespace sesamesaddle {
namespace {

// Without a notification, a feed is requested again some time after Max-Age
// (RFC 7641, 3.3.1).
constexpr Duration kFeedRefreshDelay = std::chrono::seconds(25);
constexpr Duration kFeedRetry = std::chrono::seconds(1);
constexpr int kMaxChallenges = 3;
// A transfer that was interrupted this often is not expected to complete.
constexpr int kMaxSingleBlocks = 5;

/** Payload of a message and its position in the complete body. */
struct Payload {
  std::string bytes;
  size_t offset = 0;
  size_t total = 0;
};

Payload PayloadOf(const coap_pdu_t* pdu) {
  Payload payload;
  size_t length = 0;
  const uint8_t* data = nullptr;
  if (coap_get_data_large(pdu, &length, &data, &payload.offset,
                          &payload.total) != 0) {
    payload.bytes.assign(reinterpret_cast<const char*>(data), length);
  }
  return payload;
}

std::string PayloadTextOf(const coap_pdu_t* pdu) {
  return PayloadOf(pdu).bytes;
}

std::string TokenOf(const coap_pdu_t* pdu) {
  const coap_bin_const_t token = coap_pdu_get_token(pdu);
  return {reinterpret_cast<const char*>(token.s), token.length};
}

std::string OptionOf(const coap_pdu_t* pdu, coap_option_num_t number) {
  coap_opt_iterator_t iterator;
  const coap_opt_t* option = coap_check_option(pdu, number, &iterator);
  if (option == nullptr) return "";
  return {reinterpret_cast<const char*>(coap_opt_value(option)),
          coap_opt_length(option)};
}

bool HasOption(const coap_pdu_t* pdu, coap_option_num_t number) {
  coap_opt_iterator_t iterator;
  return coap_check_option(pdu, number, &iterator) != nullptr;
}

/** Returns the word after "name=" in a response of the target stand-in. */
std::string Field(const std::string& body, const std::string& name) {
  const size_t start = body.find(name + "=");
  if (start == std::string::npos) return "";
  const size_t value = start + name.size() + 1;
  return body.substr(value, body.find_first_of(" \n", value) - value);
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Caller::Caller(coap_context_t* context, CallerOptions options, Report& report)
    : options_(std::move(options)), report_(report) {
  coap_address_t address;
  coap_address_init(&address);
  address.addr.sin = options_.address.ToSockaddr();
  address.size = sizeof(address.addr.sin);
  session_ =
      coap_new_client_session(context, nullptr, &address, COAP_PROTO_UDP);
  coap_session_set_app_data(session_, this);
}

Caller::~Caller() { coap_session_release(session_); }

std::string Caller::Send(const std::string& existing_token,
                         coap_pdu_code_t code, const std::string& path,
                         const std::string& query, bool observe,
                         const std::string& echo) {
  constexpr size_t kMaxTokenBytes = 8;
  std::string token = existing_token;
  if (token.empty()) {
    uint8_t bytes[kMaxTokenBytes];
    size_t length = 0;
    coap_session_new_token(session_, &length, bytes);
    token.assign(reinterpret_cast<const char*>(bytes), length);
  }
  coap_pdu_t* pdu =
      coap_pdu_init(COAP_MESSAGE_CON, code, coap_new_message_id(session_),
                    coap_session_max_pdu_size(session_));
  coap_add_token(pdu, token.size(),
                 reinterpret_cast<const uint8_t*>(token.data()));
  if (observe) coap_add_option(pdu, COAP_OPTION_OBSERVE, 0, nullptr);
  coap_add_option(pdu, COAP_OPTION_URI_PATH, path.size(),
                  reinterpret_cast<const uint8_t*>(path.data()));
  size_t start = 0;
  while (start < query.size()) {
    const size_t end = std::min(query.find('&', start), query.size());
    coap_add_option(pdu, COAP_OPTION_URI_QUERY, end - start,
                    reinterpret_cast<const uint8_t*>(query.data() + start));
    start = end + 1;
  }
  if (!echo.empty()) {
    coap_add_option(pdu, COAP_OPTION_ECHO, echo.size(),
                    reinterpret_cast<const uint8_t*>(echo.data()));
  }
  coap_send(session_, pdu);
  return token;
}

void Caller::StartRequest(TimePoint now, RequestKind kind, int64_t id,
                          size_t large_bytes) {
  ++report_.requests;
  busy_ = true;
  challenges_ = 0;
  request_ = {kind, id, large_bytes, now, "", 0};
  SendRequest("");
}

void Caller::SendRequest(const std::string& echo) {
  const std::string id = "id=" + std::to_string(request_.id);
  switch (request_.kind) {
    case RequestKind::kRead:
      request_.token = Send("", COAP_REQUEST_CODE_GET, "item", id, false, echo);
      return;
    case RequestKind::kLarge:
      request_.token =
          Send("", COAP_REQUEST_CODE_GET, "large",
               id + "&size=" + std::to_string(request_.bytes), false, echo);
      return;
    case RequestKind::kWrite:
      request_.token =
          Send("", COAP_REQUEST_CODE_POST, "orders", id, false, echo);
      return;
  }
}

void Caller::StartFeed(TimePoint now) {
  feed_requested_ = now;
  if (last_notification_ == TimePoint{}) last_notification_ = now;
  feed_sequence_ = 0;
  feed_token_ = Send(feed_token_, COAP_REQUEST_CODE_GET, "feed", "", true, "");
}

void Caller::OnTick(TimePoint now, bool stopping) {
  if (busy_ && now - request_.started > options_.request_timeout) {
    busy_ = false;
    ++report_.unanswered;
    MarkBroken("request_unanswered");
  }
  if (!options_.feed || feed_token_.empty() || stopping) return;
  const Duration gap = now - last_notification_;
  report_.longest_feed_gap_ms =
      std::max(report_.longest_feed_gap_ms, Milliseconds(gap));
  if (gap > options_.feed_bound) MarkBroken("feed_silent");
  if (gap > kFeedRefreshDelay && now - feed_requested_ > kFeedRefreshDelay) {
    ++report_.feed_restarts;
    StartFeed(now);
  }
}

void Caller::OnResponse(TimePoint now, const coap_pdu_t* received) {
  const std::string token = TokenOf(received);
  if (token == feed_token_) {
    OnFeedResponse(now, received);
    return;
  }
  if (!busy_ || token != request_.token) return;  // Late: already counted.
  const auto code = coap_pdu_get_code(received);
  const std::string echo = OptionOf(received, COAP_OPTION_ECHO);
  if (code == COAP_RESPONSE_CODE_UNAUTHORIZED && !echo.empty() &&
      challenges_++ < kMaxChallenges) {
    SendRequest(echo);
    return;
  }
  const Payload payload = PayloadOf(received);
  if (payload.bytes.size() < payload.total &&
      request_.single_blocks < kMaxSingleBlocks) {
    OnSingleBlock(payload.bytes, payload.offset);
    return;
  }
  EndRequest(now, received);
}

void Caller::OnSingleBlock(const std::string& block, size_t offset) {
  ++report_.pieces;
  ++request_.single_blocks;
  if (!IsBlockOfRequest(block, offset)) {
    ++report_.wrong_answers;
    fprintf(stderr, "load: request %lld of %s got a block of another: %s\n",
            static_cast<long long>(request_.id),  // NOLINT
            options_.service.c_str(), block.c_str());
  }
  SendRequest("");
}

bool Caller::IsBlockOfRequest(const std::string& block, size_t offset) const {
  const std::string id = std::to_string(request_.id);
  std::string numbers = block;
  if (offset == 0) {
    if (Field(block, "id") != id ||
        Field(block, "service") != options_.service) {
      return false;
    }
    numbers = block.substr(block.find('\n') + 1);
  }
  numbers = numbers.substr(0, numbers.find("end="));
  return GenerateLargeBody(id, request_.bytes).find(numbers) !=
         std::string::npos;
}

void Caller::OnFeedResponse(TimePoint now, const coap_pdu_t* received) {
  const auto code = coap_pdu_get_code(received);
  if (code != COAP_RESPONSE_CODE_CONTENT ||
      !HasOption(received, COAP_OPTION_OBSERVE)) {
    // Refused. RFC 7641 asks for a new request after Max-Age: OnTick sends it
    // kFeedRefreshDelay after the last notification, kFeedRetry from now at the
    // earliest.
    ++report_.feed_restarts;
    feed_requested_ = now - kFeedRefreshDelay + kFeedRetry;
    return;
  }
  if (!IsNewer(now, OptionOf(received, COAP_OPTION_OBSERVE))) return;
  const std::string body = PayloadTextOf(received);
  ++report_.notifications;
  last_notification_ = now;
  if (Field(body, "service") != options_.service) {
    ++report_.wrong_service;
    fprintf(stderr, "load: feed of %s got: %s\n", options_.service.c_str(),
            body.c_str());
  }
  const std::string version = Field(body, "version");
  const int64_t number = version.empty() ? 0 : std::stoll(version);
  if (number < feed_version_) ++report_.feed_regressions;
  feed_version_ = std::max(feed_version_, number);
}

/** Returns whether a notification is newer than the last (RFC 7641, 3.4). */
bool Caller::IsNewer(TimePoint now, const std::string& observe) {
  constexpr uint32_t kHalfRange = 1U << 23;
  constexpr Duration kStale = std::chrono::seconds(128);
  uint32_t sequence = 0;
  for (const char byte : observe) {
    sequence = (sequence << 8) | static_cast<uint8_t>(byte);
  }
  const uint32_t last = feed_sequence_;
  const bool newer = (last < sequence && sequence - last < kHalfRange) ||
                     (last > sequence && last - sequence > kHalfRange) ||
                     now - last_notification_ > kStale;
  if (newer) feed_sequence_ = sequence;
  return newer;
}

void Caller::EndRequest(TimePoint now, const coap_pdu_t* received) {
  busy_ = false;
  const auto code = coap_pdu_get_code(received);
  const std::string body = PayloadTextOf(received);
  const bool write = request_.kind == RequestKind::kWrite;
  const bool not_run =
      body.find("\"outcome\":\"not_run\"") != std::string::npos;
  const bool unknown =
      body.find("\"outcome\":\"unknown\"") != std::string::npos;
  if (not_run) {
    ++report_.refused;
    if (write) report_.orders[request_.id] = OrderOutcome::kNotRun;
    return;
  }
  if (unknown) {
    ++report_.unknown;
    if (write) report_.orders[request_.id] = OrderOutcome::kUnknown;
    if (body.find("owner_gone") != std::string::npos) MarkBroken("owner_gone");
    return;
  }
  if (COAP_RESPONSE_CLASS(code) != 2) {
    ++report_.errors;
    if (write) report_.orders[request_.id] = OrderOutcome::kUnknown;
    return;
  }
  ++report_.answered;
  if (write) report_.orders[request_.id] = OrderOutcome::kAnswered;
  const double latency = Milliseconds(now - request_.started);
  report_.latencies_ms.push_back(latency);
  report_.latencies_by_service[options_.service].push_back(latency);
  if (Field(body, "id") != std::to_string(request_.id)) ++report_.wrong_answers;
  if (Field(body, "service") != options_.service) {
    ++report_.wrong_service;
    fprintf(stderr, "load: request %lld of %s got: %s\n",
            static_cast<long long>(request_.id),  // NOLINT
            options_.service.c_str(), body.c_str());
  }
  if (!IsCompleteResponse(body)) {
    ++report_.incomplete;
    fprintf(stderr, "load: request %lld of %s is not whole, %zu bytes: %s\n",
            static_cast<long long>(request_.id),  // NOLINT
            options_.service.c_str(), body.size(), body.c_str());
  }
}

bool Caller::IsCompleteResponse(const std::string& body) const {
  if (request_.kind != RequestKind::kLarge) return body.back() == '\n';
  const size_t end = body.rfind("end=");
  if (end == std::string::npos || end < request_.bytes) return false;
  return Field(body.substr(end), "end") ==
         std::to_string(Hash64(body.substr(0, end)));
}

void Caller::OnNack(const coap_pdu_t* sent) {
  if (sent == nullptr) return;
  const std::string token = TokenOf(sent);
  if (busy_ && token == request_.token) {
    busy_ = false;
    ++report_.unanswered;
    if (request_.kind == RequestKind::kWrite) {
      report_.orders[request_.id] = OrderOutcome::kUnknown;
    }
    MarkBroken("request_unanswered");
  }
}

void Caller::Finish() {
  if (!busy_) return;
  busy_ = false;
  ++report_.unanswered;
  MarkBroken("request_unanswered");
}

void Caller::MarkBroken(const std::string& reason) {
  if (broken_) return;
  broken_ = true;
  ++report_.broken_flows;
  ++report_.broken_reasons[reason];
}

}  // namespace sesamesaddle
