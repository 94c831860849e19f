#ifndef SESAMESADDLE_CORE_ENDPOINT_H_
#define SESAMESADDLE_CORE_ENDPOINT_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sesamesaddle {

/** Reason why a string cannot be parsed as an endpoint. */
enum class EndpointError { kMissingPort, kInvalidAddress, kInvalidPort };

/** An IPv4 address and a port. */
class Endpoint {
 public:
  constexpr Endpoint() = default;
  constexpr Endpoint(uint32_t ip, uint16_t port) : ip_(ip), port_(port) {}

  /** Parses ADDRESS:PORT, such as "127.0.0.1:5683"; port 0 is invalid. */
  static tl::expected<Endpoint, EndpointError> Parse(std::string_view text);
  static Endpoint FromSockaddr(const sockaddr_in& address);
  /** Decodes a PackedEndpoint; see messages.thrift. */
  static constexpr Endpoint Unpack(int64_t packed) {
    return Endpoint(static_cast<uint32_t>(packed >> 16),
                    static_cast<uint16_t>(packed & 0xffff));
  }
  /** Returns whether the number packs an endpoint: an address and a port. */
  static constexpr bool IsPacked(int64_t packed) {
    return Unpack(packed).Pack() == packed && Unpack(packed).ip() != 0 &&
           Unpack(packed).port() != 0;
  }

  /** @return the endpoint as a PackedEndpoint; see messages.thrift. */
  constexpr int64_t Pack() const {
    return (static_cast<int64_t>(ip_) << 16) | port_;
  }
  sockaddr_in ToSockaddr() const;
  std::string ToString() const;

  /** The address in host byte order. */
  constexpr uint32_t ip() const { return ip_; }
  constexpr uint16_t port() const { return port_; }
  bool IsLoopback() const;

  friend constexpr bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.Pack() == b.Pack();
  }
  friend constexpr bool operator!=(const Endpoint& a, const Endpoint& b) {
    return a.Pack() != b.Pack();
  }
  friend constexpr bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.Pack() < b.Pack();
  }

 private:
  uint32_t ip_ = 0;
  uint16_t port_ = 0;
};

/** @return an error description such as "the port is missing". */
std::string_view Describe(EndpointError error);

/** Identifies a flow by the caller and the service address it sends to. */
struct Flow {
  Endpoint caller;
  Endpoint service;

  friend bool operator==(const Flow& a, const Flow& b) {
    return a.caller == b.caller && a.service == b.service;
  }
  friend bool operator<(const Flow& a, const Flow& b) {
    return a.caller < b.caller ||
           (a.caller == b.caller && a.service < b.service);
  }
};

/** Hashes a flow; the result is the same in every process. */
uint64_t HashFlow(const Flow& flow);

}  // namespace sesamesaddle

template <>
struct std::hash<sesamesaddle::Endpoint> {
  size_t operator()(const sesamesaddle::Endpoint& endpoint) const noexcept {
    return std::hash<int64_t>()(endpoint.Pack());
  }
};

template <>
struct std::hash<sesamesaddle::Flow> {
  size_t operator()(const sesamesaddle::Flow& flow) const noexcept {
    return sesamesaddle::HashFlow(flow);
  }
};

#endif  // SESAMESADDLE_CORE_ENDPOINT_H_
