#include "serving/echo_authority.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <array>
#include <cstring>

namespace sesamesaddle {
namespace {

constexpr size_t kKeyBytes = 32;
constexpr size_t kMacBytes = 8;
constexpr size_t kBodyBytes = 24;  // Issuer, time of issue, nonce.

void AppendInt(std::string& out, int64_t value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

int64_t ReadInt(std::string_view bytes, size_t offset) {
  int64_t value = 0;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}

std::string Mac(const std::string& key, const Flow& flow,
                std::string_view body) {
  std::string text(body);
  AppendInt(text, flow.caller.Pack());
  AppendInt(text, flow.service.Pack());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), kMacBytes};
}

EchoStatus ClassifyAge(Duration age) {
  if (age <= EchoAuthority::kLifetime) return EchoStatus::kFresh;
  return age < EchoAuthority::kRequestRetention ? EchoStatus::kStale
                                                : EchoStatus::kExpired;
}

}  // namespace

EchoAuthority::EchoAuthority(MemberId self, RandomSource& random)
    : self_(self), random_(random) {
  while (key_.size() < kKeyBytes) {
    AppendInt(key_, static_cast<int64_t>(random_.Next()));
  }
}

std::string EchoAuthority::Issue(TimePoint now, const Flow& flow) {
  std::string value;
  AppendInt(value, self_.value());
  AppendInt(value, now.time_since_epoch().count());
  AppendInt(value, static_cast<int64_t>(random_.Next()));
  return value + Mac(key_, flow, value);
}

EchoCheck EchoAuthority::Check(TimePoint now, const Flow& flow,
                               std::string_view value) const {
  EchoCheck check;
  if (value.size() != kBodyBytes + kMacBytes) return check;
  const std::string_view body = value.substr(0, kBodyBytes);
  check.issuer = MemberId(ReadInt(body, 0));
  check.nonce = EchoNonce(ReadInt(body, 16));
  const HeldGrant* held = FindGrant(flow, check.issuer);
  if (check.issuer != self_ && held == nullptr) {
    check.status = EchoStatus::kOtherIssuer;
    return check;
  }
  const std::string mac =
      Mac(held == nullptr ? key_ : held->grant.key, flow, body);
  if (CRYPTO_memcmp(mac.data(), value.data() + kBodyBytes, kMacBytes) != 0) {
    return check;
  }
  const TimePoint issued_at(Duration(ReadInt(body, sizeof(int64_t))));
  // The clock of an earlier owner is not comparable with this one. Its values
  // are aged from the time it granted its key, since it issued none afterwards.
  const TimePoint valid_from = held == nullptr ? issued_at : held->granted_at;
  const bool expired_by_issuer =
      held != nullptr && issued_at <= held->grant.expired_until;
  check.status = expired_by_issuer || valid_from <= RevokedAt(flow)
                     ? EchoStatus::kExpired
                     : ClassifyAge(now - valid_from);
  return check;
}

void EchoAuthority::Revoke(TimePoint now, const Flow& flow) {
  revoked_at_[flow] = now;
}

TimePoint EchoAuthority::RevokedAt(const Flow& flow) const {
  const auto it = revoked_at_.find(flow);
  return it == revoked_at_.end() ? TimePoint{} : it->second;
}

void EchoAuthority::Expire(TimePoint now) {
  for (auto it = revoked_at_.begin(); it != revoked_at_.end();) {
    it = now - it->second > kRequestRetention ? revoked_at_.erase(it)
                                              : std::next(it);
  }
  for (auto flow = grants_.begin(); flow != grants_.end();) {
    auto& grants = flow->second;
    for (auto it = grants.begin(); it != grants.end();) {
      const bool old = now - it->second.granted_at > kRequestRetention;
      it = old ? grants.erase(it) : std::next(it);
    }
    flow = grants.empty() ? grants_.erase(flow) : std::next(flow);
  }
}

void EchoAuthority::AddGrant(TimePoint now, const Flow& flow,
                             const EchoGrant& grant) {
  if (grant.issuer != self_) grants_[flow][grant.issuer] = {grant, now};
}

std::vector<EchoGrant> EchoAuthority::Grants(const Flow& flow) const {
  const TimePoint revoked_at = RevokedAt(flow);
  std::vector<EchoGrant> grants = {{self_, key_, revoked_at}};
  const auto it = grants_.find(flow);
  if (it == grants_.end()) return grants;
  for (const auto& [issuer, held] : it->second) {
    if (held.granted_at > revoked_at) grants.push_back(held.grant);
  }
  return grants;
}

const EchoAuthority::HeldGrant* EchoAuthority::FindGrant(
    const Flow& flow, MemberId issuer) const {
  const auto it = grants_.find(flow);
  if (it == grants_.end()) return nullptr;
  const auto grant = it->second.find(issuer);
  return grant == it->second.end() ? nullptr : &grant->second;
}

}  // namespace sesamesaddle
