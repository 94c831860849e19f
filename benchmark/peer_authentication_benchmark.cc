// Price of an authenticated header: a keyed hash over one packet between
// processes, by its size and by the algorithm.

#include <benchmark/benchmark.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <memory>
#include <string>

namespace sesamesaddle {
namespace {

using Mac = std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)>;
using MacContext = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

/** An algorithm and its key, as set up once for a process. */
struct Algorithm {
  const char* name;
  size_t key_bytes;
  /** Parameter that the algorithm needs besides, or null. */
  const char* parameter;
  std::string value;
};

const std::array<Algorithm, 4> kAlgorithms = {{
    {"SIPHASH", 16, nullptr, ""},
    {"BLAKE2SMAC", 32, nullptr, ""},
    {"HMAC", 32, OSSL_MAC_PARAM_DIGEST, "SHA256"},
    {"CMAC", 16, OSSL_MAC_PARAM_CIPHER, "AES-128-CBC"},
}};

MacContext MakeContext(const Algorithm& algorithm) {
  const Mac mac(EVP_MAC_fetch(nullptr, algorithm.name, nullptr), EVP_MAC_free);
  MacContext context(mac == nullptr ? nullptr : EVP_MAC_CTX_new(mac.get()),
                     EVP_MAC_CTX_free);
  if (context == nullptr) return context;
  std::string value = algorithm.value;
  const std::string key(algorithm.key_bytes, 'k');
  std::array<OSSL_PARAM, 2> parameters = {OSSL_PARAM_construct_end(),
                                          OSSL_PARAM_construct_end()};
  if (algorithm.parameter != nullptr) {
    parameters[0] =
        OSSL_PARAM_construct_utf8_string(algorithm.parameter, value.data(), 0);
  }
  const auto* bytes = reinterpret_cast<const unsigned char*>(key.data());
  if (EVP_MAC_init(context.get(), bytes, key.size(), parameters.data()) != 1) {
    context.reset();
  }
  return context;
}

/** Hashes a packet of `range(1)` bytes with algorithm `range(0)`. */
void BM_KeyedHash(benchmark::State& state) {
  const Algorithm& algorithm = kAlgorithms[static_cast<size_t>(state.range(0))];
  const MacContext context = MakeContext(algorithm);
  if (context == nullptr) {
    state.SkipWithError("OpenSSL does not offer the algorithm");
    return;
  }
  const std::string packet(static_cast<size_t>(state.range(1)), 'p');
  const auto* bytes = reinterpret_cast<const unsigned char*>(packet.data());
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  size_t size = 0;
  for (auto unused : state) {
    // Without a key the context starts again with the one that it has.
    EVP_MAC_init(context.get(), nullptr, 0, nullptr);
    EVP_MAC_update(context.get(), bytes, packet.size());
    EVP_MAC_final(context.get(), hash.data(), &size, hash.size());
    benchmark::DoNotOptimize(hash);
  }
  state.SetLabel(algorithm.name);
}
// An acknowledgement, a report, and a full packet.
BENCHMARK(BM_KeyedHash)->ArgsProduct({{0, 1, 2, 3}, {34, 73, 1234}});

/**
 * Hashes a packet of `range(0)` bytes with XXH3 and a secret. It is no message
 * authentication code and only shows what any hash of the packet costs.
 */
void BM_SecretXxh3(benchmark::State& state) {
  const std::string secret(XXH_SECRET_DEFAULT_SIZE, 's');
  const std::string packet(static_cast<size_t>(state.range(0)), 'p');
  for (auto unused : state) {
    benchmark::DoNotOptimize(XXH3_64bits_withSecret(
        packet.data(), packet.size(), secret.data(), secret.size()));
  }
}
BENCHMARK(BM_SecretXxh3)->Arg(34)->Arg(73)->Arg(1234);

}  // namespace
}  // namespace sesamesaddle

BENCHMARK_MAIN();
