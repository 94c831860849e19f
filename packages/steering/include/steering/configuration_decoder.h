#ifndef SESAMESADDLE_STEERING_CONFIGURATION_DECODER_H_
#define SESAMESADDLE_STEERING_CONFIGURATION_DECODER_H_

#include <string>
#include <tl/expected.hpp>

#include "steering/route_table.h"

namespace sesamesaddle {

/** Reads the operators' configuration in the form that they write. */
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;

  /** @return the routes, or a sentence that tells what is wrong. */
  virtual tl::expected<RouteTable, std::string> Decode(
      const std::string& document) const = 0;
  /** @return the store's key under which the operators write. */
  virtual std::string store_key() const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_CONFIGURATION_DECODER_H_
