#include "platform/http_store.h"

#include <charconv>
#include <utility>

#include "schema/codec.h"

namespace sesamesaddle {
namespace {

constexpr int kOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpTooLarge = 413;

tl::expected<HttpResponse, StoreError> ToOutcome(HttpResult result) {
  if (!result.whole) {
    return tl::unexpected(result.failure == HttpFailure::kNotSent
                              ? StoreError::kUnavailable
                              : StoreError::kOutcomeUnknown);
  }
  switch (result.response.status) {
    case kOk:
      return std::move(result.response);
    case kHttpNotFound:
      return tl::unexpected(StoreError::kNotFound);
    case kHttpConflict:
      return tl::unexpected(StoreError::kExists);
    case kHttpPreconditionFailed:
      return tl::unexpected(StoreError::kVersionMismatch);
    case kHttpGone:
      return tl::unexpected(StoreError::kLeaseExpired);
    case kHttpTooLarge:
      return tl::unexpected(StoreError::kTooLarge);
    default:
      return tl::unexpected(StoreError::kUnavailable);
  }
}

template <typename Id>
tl::expected<Id, StoreError> ReadNumber(
    const tl::expected<HttpResponse, StoreError>& response) {
  if (!response) return tl::unexpected(response.error());
  const std::string& text = response->body;
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return tl::unexpected(StoreError::kOutcomeUnknown);
  return Id(value);
}

template <typename T>
tl::expected<T, StoreError> ReadStruct(
    const tl::expected<HttpResponse, StoreError>& response) {
  if (!response) return tl::unexpected(response.error());
  auto value = DecodeCompact<T>(response->body);
  if (!value) return tl::unexpected(StoreError::kOutcomeUnknown);
  return std::move(*value);
}

HttpRequest MakeRequest(std::string method, std::string path,
                        std::string query = "") {
  HttpRequest request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.query = std::move(query);
  return request;
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

HttpStore::HttpStore(EventLoop& loop, const Endpoint& service, Duration timeout)
    : loop_(loop), client_(loop, service), timeout_(timeout) {}

void HttpStore::Read(const std::string& key, Done<schema::KeyValue> done) {
  Send(MakeRequest("GET", "/v1/kv/" + key), timeout_,
       [done = std::move(done)](auto response) {
         done(ReadStruct<schema::KeyValue>(response));
       });
}

void HttpStore::List(const std::string& prefix,
                     Done<schema::KeyValueList> done) {
  Send(MakeRequest("GET", "/v1/list", "prefix=" + prefix), timeout_,
       [done = std::move(done)](auto response) {
         done(ReadStruct<schema::KeyValueList>(response));
       });
}

void HttpStore::Create(const std::string& key, const std::string& value,
                       LeaseId lease, Done<KeyVersion> done) {
  HttpRequest request = MakeRequest("PUT", "/v1/kv/" + key);
  request.headers["if-none-match"] = "*";
  if (lease != kNoLease) {
    request.headers["x-lease"] = std::to_string(lease.value());
  }
  request.body = value;
  Write(std::move(request), std::move(done));
}

void HttpStore::CompareAndSwap(const std::string& key, KeyVersion expected,
                               const std::string& value,
                               Done<KeyVersion> done) {
  HttpRequest request = MakeRequest("PUT", "/v1/kv/" + key);
  request.headers["if-match"] = std::to_string(expected.value());
  request.body = value;
  Write(std::move(request), std::move(done));
}

void HttpStore::Remove(const std::string& key, Done<KeyVersion> done) {
  Write(MakeRequest("DELETE", "/v1/kv/" + key), std::move(done));
}

void HttpStore::GrantLease(Duration time_to_live, Done<LeaseId> done) {
  Send(
      MakeRequest("POST", "/v1/leases", "ttl_ms=" + Milliseconds(time_to_live)),
      timeout_, [done = std::move(done)](auto response) {
        done(ReadNumber<LeaseId>(response));
      });
}

void HttpStore::RenewLease(LeaseId lease, Done<LeaseId> done) {
  Send(MakeRequest("POST", "/v1/leases/" + std::to_string(lease.value())),
       timeout_, [done = std::move(done)](auto response) {
         done(ReadNumber<LeaseId>(response));
       });
}

void HttpStore::Watch(const std::string& prefix, int64_t revision,
                      Duration wait, Done<schema::KeyValueList> done) {
  const std::string query = "prefix=" + prefix +
                            "&after=" + std::to_string(revision) +
                            "&wait_ms=" + Milliseconds(wait);
  Send(MakeRequest("GET", "/v1/watch", query), timeout_ + wait,
       [done = std::move(done)](auto response) {
         done(ReadStruct<schema::KeyValueList>(response));
       });
}

void HttpStore::Write(HttpRequest request, Done<KeyVersion> done) {
  if (request.body.size() > kMaxValueBytes) {
    done(tl::unexpected(StoreError::kTooLarge));
    return;
  }
  Send(request, timeout_, [done = std::move(done)](auto response) {
    done(ReadNumber<KeyVersion>(response));
  });
}

void HttpStore::Send(const HttpRequest& request, Duration timeout,
                     Done<HttpResponse> done) {
  const int64_t id = next_call_++;
  Pending& pending = pending_[id];
  pending.timer = loop_.After(timeout, [this, id, done] {
    pending_.erase(id);  // Cancels the call.
    done(tl::unexpected(StoreError::kOutcomeUnknown));
  });
  pending.call = client_.Call(
      request, ConnectionUse::kPooled, [this, id, done](HttpResult result) {
        // The call object is still in use by its caller here.
        loop_.Post([this, id, done, result = std::move(result)]() mutable {
          if (pending_.erase(id) != 0) done(ToOutcome(std::move(result)));
        });
      });
}

}  // namespace sesamesaddle
