#include "core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

#include "core/hash.h"

namespace sesamesaddle {

tl::expected<Endpoint, EndpointError> Endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return tl::unexpected(EndpointError::kMissingPort);
  }
  const std::string host(text.substr(0, colon));
  in_addr address{};
  if (inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return tl::unexpected(EndpointError::kInvalidAddress);
  }
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return tl::unexpected(EndpointError::kInvalidPort);
  }
  return Endpoint(ntohl(address.s_addr), port);
}

Endpoint Endpoint::FromSockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

sockaddr_in Endpoint::ToSockaddr() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip_);
  address.sin_port = htons(port_);
  return address;
}

std::string Endpoint::ToString() const {
  char text[INET_ADDRSTRLEN];
  const in_addr address{htonl(ip_)};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(port_);
}

bool Endpoint::IsLoopback() const {
  constexpr int kFirstOctetShift = 24;
  return (ip_ >> kFirstOctetShift) == IN_LOOPBACKNET;
}

std::string_view Describe(EndpointError error) {
  switch (error) {
    case EndpointError::kMissingPort:
      return "the port is missing, expected ADDRESS:PORT";
    case EndpointError::kInvalidAddress:
      return "the address is not an IPv4 address";
    case EndpointError::kInvalidPort:
      return "the port is not a number from 1 to 65535";
  }
  return "unknown error";
}

uint64_t HashFlow(const Flow& flow) {
  return HashPair(static_cast<uint64_t>(flow.caller.Pack()),
                  static_cast<uint64_t>(flow.service.Pack()));
}

}  // namespace sesamesaddle
