#ifndef SESAMESADDLE_NET_PROXY_HEADER_H_
#define SESAMESADDLE_NET_PROXY_HEADER_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"

namespace sesamesaddle {

/** Why a datagram does not start with a usable PROXY header. */
enum class ProxyHeaderError {
  kTooShort,
  kInvalidSignature,
  kUnsupportedVersion,
  kUnsupportedFamily,
  kInvalidLength,
};

/**
 * A datagram wrapped in a PROXY protocol version 2 header (AF_INET, DGRAM), as
 * "The PROXY protocol" by HAProxy, section 2.2, lays it out.
 */
struct ProxiedDatagram {
  Endpoint source;
  Endpoint destination;
  std::string_view payload;
};

/** @return the datagram; its payload points into `bytes`. */
tl::expected<ProxiedDatagram, ProxyHeaderError> ParseProxiedDatagram(
    std::string_view bytes);

/** @return the header followed by the payload. */
std::string EncodeProxiedDatagram(const ProxiedDatagram& datagram);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_PROXY_HEADER_H_
