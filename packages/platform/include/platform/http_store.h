#ifndef SESAMESADDLE_PLATFORM_HTTP_STORE_H_
#define SESAMESADDLE_PLATFORM_HTTP_STORE_H_

#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "platform/store.h"

namespace sesamesaddle {

/**
 * The store over HTTP/1.1:
 *   GET /v1/kv/KEY, GET /v1/list?prefix=P, PUT /v1/kv/KEY (If-None-Match: * or
 *   If-Match: VERSION, X-Lease), DELETE /v1/kv/KEY, POST /v1/leases?ttl_ms=N,
 *   POST /v1/leases/ID, GET /v1/watch?prefix=P&after=R&wait_ms=N.
 */
class HttpStore : public Store {
 public:
  /** @param timeout  bound on a call; a watch gets its wait on top. */
  HttpStore(EventLoop& loop, const Endpoint& service, Duration timeout);

  void Read(const std::string& key, Done<schema::KeyValue> done) override;
  void List(const std::string& prefix,
            Done<schema::KeyValueList> done) override;
  void Create(const std::string& key, const std::string& value, LeaseId lease,
              Done<KeyVersion> done) override;
  void CompareAndSwap(const std::string& key, KeyVersion expected,
                      const std::string& value, Done<KeyVersion> done) override;
  void Remove(const std::string& key, Done<KeyVersion> done) override;
  void GrantLease(Duration time_to_live, Done<LeaseId> done) override;
  void RenewLease(LeaseId lease, Done<LeaseId> done) override;
  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             Done<schema::KeyValueList> done) override;

  /** Calls made so far. */
  int64_t calls() const { return next_call_; }

 private:
  struct Pending {
    std::unique_ptr<HttpCall> call;
    EventLoop::Timer timer;
  };

  void Send(const HttpRequest& request, Duration timeout,
            Done<HttpResponse> done);
  void Write(HttpRequest request, Done<KeyVersion> done);

  EventLoop& loop_;
  HttpClient client_;
  Duration timeout_;
  int64_t next_call_ = 0;
  std::map<int64_t, Pending> pending_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLATFORM_HTTP_STORE_H_
