#ifndef SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_
#define SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/endpoint.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/** The nonce that makes an Echo value unique. */
using EchoNonce = StrongId<struct EchoNonceTag>;

/** The result of checking an Echo value at this owner. */
enum class EchoStatus {
  kFresh,    // Issued by this owner, or by one that granted its key.
  kStale,    // As above, but too old to run a request.
  kExpired,  // So old that a request run under it may no longer be remembered.
  kOtherIssuer,  // Issued by another owner, named in `issuer`.
  kMalformed,    // Not an Echo value of this system for this flow.
};

struct EchoCheck {
  EchoStatus status = EchoStatus::kMalformed;
  MemberId issuer;
  EchoNonce nonce;
};

/**
 * Issues and checks Echo values (RFC 9175). A value holds its issuer, the time
 * of issue and a nonce, authenticated by a MAC with a key of the issuer. At
 * most one request runs under one nonce.
 */
class EchoAuthority {
 public:
  /** Requests with an older value are not run. */
  static constexpr Duration kLifetime = std::chrono::seconds(60);
  /** Requests run under a value are remembered for at least this long. */
  static constexpr Duration kRequestRetention = std::chrono::seconds(300);

  EchoAuthority(MemberId self, RandomSource& random);

  /** Returns a new Echo value for a flow. */
  std::string Issue(TimePoint now, const Flow& flow);
  /** Checks an Echo value received on a flow. */
  EchoCheck Check(TimePoint now, const Flow& flow,
                  std::string_view value) const;

  /** Returns the own key, to be granted to an owner that takes over a flow. */
  const std::string& key() const { return key_; }
  /** Accepts values of an earlier owner of the flow from now on. */
  void AddGrant(TimePoint now, const Flow& flow, MemberId issuer,
                const std::string& key);
  /** Returns the granted keys of a flow for a handover, without the own key. */
  std::map<MemberId, std::string> Grants(const Flow& flow) const;
  void RemoveGrants(const Flow& flow) { grants_.erase(flow); }
  /**
   * Marks every value issued so far for the flow as expired, since another
   * owner may have taken over the flow and run requests under them.
   */
  void Revoke(TimePoint now, const Flow& flow);
  /** Removes grants and revocations older than kRequestRetention. */
  void Expire(TimePoint now);

 private:
  struct Grant {
    std::string key;
    TimePoint granted_at;
  };

  const Grant* FindGrant(const Flow& flow, MemberId issuer) const;

  MemberId self_;
  RandomSource& random_;
  std::string key_;
  std::map<Flow, std::map<MemberId, Grant>> grants_;
  std::map<Flow, TimePoint> revoked_at_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_
