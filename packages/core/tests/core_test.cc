#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "core/endpoint.h"
#include "core/hash.h"
#include "core/random.h"

namespace sesamesaddle {
namespace {

TEST_CASE("Parsing an encoded endpoint restores it") {
  rc::prop("for any address and port", [](uint32_t ip, uint16_t port) {
    RC_PRE(port != 0);
    const Endpoint endpoint(ip, port);
    RC_ASSERT(Endpoint::Parse(endpoint.ToString()).value() == endpoint);
    RC_ASSERT(Endpoint::Unpack(endpoint.Pack()) == endpoint);
    RC_ASSERT(Endpoint::FromSockaddr(endpoint.ToSockaddr()) == endpoint);
  });
}

TEST_CASE("Endpoint::Parse reports which part of the input is invalid") {
  CHECK(Endpoint::Parse("127.0.0.1").error() == EndpointError::kMissingPort);
  CHECK(Endpoint::Parse("host:1").error() == EndpointError::kInvalidAddress);
  CHECK(Endpoint::Parse("1.2.3.4:0").error() == EndpointError::kInvalidPort);
  CHECK(Endpoint::Parse("1.2.3.4:65536").error() ==
        EndpointError::kInvalidPort);
  CHECK(Endpoint::Parse("1.2.3.4:5x").error() == EndpointError::kInvalidPort);
}

TEST_CASE("IsLoopback covers 127.0.0.0/8") {
  CHECK(Endpoint::Parse("127.8.9.1:1")->IsLoopback());
  CHECK_FALSE(Endpoint::Parse("128.0.0.1:1")->IsLoopback());
}

TEST_CASE("Flow hashes depend on the order of caller and service") {
  const Flow flow{Endpoint(1, 2), Endpoint(3, 4)};
  const Flow swapped{Endpoint(3, 4), Endpoint(1, 2)};
  CHECK(HashFlow(flow) != HashFlow(swapped));
  // Processes of different builds must choose the same home agents for a flow.
  CHECK(HashPair(1, 2) == 0x7ee86c281446befULL);
}

TEST_CASE("RandomSource::Below returns numbers below the bound") {
  SeededRandom random(1);
  CHECK(random.Below(0) == 0);
  for (int i = 0; i < 1000; ++i) CHECK(random.Below(7) < 7);
}

}  // namespace
}  // namespace sesamesaddle
