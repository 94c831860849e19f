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

/** The part of an Echo value that makes it different from every other. */
using EchoNonce = StrongId<struct EchoNonceTag>;

/** What an Echo value is worth at this owner. */
enum class EchoStatus {
  kFresh,        // Issued by this owner, or by one that granted us its key.
  kStale,        // As above, but too old to run a request.
  kExpired,      // So old that a request run under it may be forgotten.
  kOtherIssuer,  // Issued by another owner; `issuer` tells which.
  kMalformed,    // Not an Echo value of this system for this flow.
};

struct EchoCheck {
  EchoStatus status = EchoStatus::kMalformed;
  MemberId issuer;
  EchoNonce nonce;
};

/**
 * Issues and judges Echo values (RFC 9175). A value names its issuer, the time
 * of issue and a nonce, under a MAC with a key that only the issuer has. At
 * most one request runs under one nonce.
 */
class EchoAuthority {
 public:
  /** A value older than this runs nothing. */
  static constexpr Duration kLifetime = std::chrono::seconds(60);
  /** Requests run under a value are remembered at least this long. */
  static constexpr Duration kRequestRetention = std::chrono::seconds(300);

  EchoAuthority(MemberId self, RandomSource& random);

  std::string Issue(TimePoint now, const Flow& flow);
  EchoCheck Check(TimePoint now, const Flow& flow,
                  std::string_view value) const;

  /** The key, for an owner that takes over a flow. */
  const std::string& key() const { return key_; }
  /** Accepts values of an earlier owner of the flow from now on. */
  void AddGrant(TimePoint now, const Flow& flow, MemberId issuer,
                const std::string& key);
  /** The grants of a flow, for handing it on; our own key is not in it. */
  std::map<MemberId, std::string> Grants(const Flow& flow) const;
  void RemoveGrants(const Flow& flow) { grants_.erase(flow); }
  /**
   * Judges every value issued so far for the flow as forgotten: another owner
   * may have taken the flow over and run requests under them.
   */
  void Revoke(TimePoint now, const Flow& flow);
  /** Drops grants and revocations that concern only values too old anyway. */
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
