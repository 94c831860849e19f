#ifndef SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_
#define SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/** The right to run the requests of a flow under the values of one issuer. */
struct EchoGrant {
  MemberId issuer;
  std::string key;
  /**
   * Values issued up to this time, by the issuer's clock, are expired: another
   * agent may have run requests under them.
   */
  TimePoint expired_until{};
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

  /** Accepts values of an earlier owner of the flow from now on. */
  void AddGrant(TimePoint now, const Flow& flow, const EchoGrant& grant);
  /**
   * Returns the grants for an owner that takes over the flow: of the own key,
   * and of those of earlier owners that are not revoked here.
   */
  std::vector<EchoGrant> Grants(const Flow& flow) const;
  /**
   * Marks every value issued or granted so far for the flow as expired, since
   * another owner has or may have taken over the flow and run requests under
   * them.
   */
  void Revoke(TimePoint now, const Flow& flow);
  /** Removes grants and revocations older than kRequestRetention. */
  void Expire(TimePoint now);

 private:
  struct HeldGrant {
    EchoGrant grant;
    TimePoint granted_at;  // By the own clock.
  };

  const HeldGrant* FindGrant(const Flow& flow, MemberId issuer) const;
  /** Returns when the flow was revoked last, or zero. */
  TimePoint RevokedAt(const Flow& flow) const;

  MemberId self_;
  RandomSource& random_;
  std::string key_;
  std::map<Flow, std::map<MemberId, HeldGrant>> grants_;
  std::map<Flow, TimePoint> revoked_at_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_ECHO_AUTHORITY_H_
