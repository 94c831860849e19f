#ifndef SESAMESADDLE_NET_PROXY_HEADER_H_
#define SESAMESADDLE_NET_PROXY_HEADER_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"

namespace sesamesaddle {

/** Why a datagram does not start with a supported PROXY header. */
enum class ProxyHeaderError {
  kTooShort,
  kInvalidSignature,
  kUnsupportedVersion,
  kUnsupportedFamily,
  kInvalidLength,
};

/**
 * A datagram with a PROXY protocol version 2 header (AF_INET, DGRAM); see
 * section 2.2 of HAProxy's specification, "The PROXY protocol".
 */
struct ProxiedDatagram {
  Endpoint source;
  Endpoint destination;
  std::string_view payload;
};

/** Parses the header; the returned payload points into `bytes`. */
tl::expected<ProxiedDatagram, ProxyHeaderError> ParseProxiedDatagram(
    std::string_view bytes);

/** Returns the header followed by the payload. */
std::string EncodeProxiedDatagram(const ProxiedDatagram& datagram);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_PROXY_HEADER_H_
