#include "schema/flow_key.h"

namespace sesamesaddle {

schema::FlowKey ToKey(const Flow& flow) {
  schema::FlowKey key;
  key.caller = flow.caller.Pack();
  key.service_address = flow.service.Pack();
  return key;
}

Flow FromKey(const schema::FlowKey& key) {
  return {Endpoint::Unpack(key.caller), Endpoint::Unpack(key.service_address)};
}

int32_t DigestHash(const Flow& flow) {
  return static_cast<int32_t>(static_cast<uint32_t>(HashFlow(flow)));
}

}  // namespace sesamesaddle
