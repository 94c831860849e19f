#ifndef SESAMESADDLE_FLOW_MODEL_CONFIGURATION_DECODER_H_
#define SESAMESADDLE_FLOW_MODEL_CONFIGURATION_DECODER_H_

#include <string>
#include <tl/expected.hpp>

#include "flow_model/route_table.h"

namespace sesamesaddle {

/** Decodes the operators' configuration document. */
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;

  /** Returns the routes, or a message that describes the error. */
  virtual tl::expected<RouteTable, std::string> Decode(
      const std::string& document) const = 0;
  /** Returns the store key of the document. */
  virtual std::string store_key() const = 0;
  /**
   * Returns the prefix of the store keys of evacuations: while a key exists
   * below it, the availability zone that the rest of the key names is
   * evacuated.
   */
  virtual std::string evacuation_prefix() const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_MODEL_CONFIGURATION_DECODER_H_
