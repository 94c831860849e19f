#ifndef SESAMESADDLE_SCHEMA_FLOW_KEY_H_
#define SESAMESADDLE_SCHEMA_FLOW_KEY_H_

#include <cstdint>

#include "core/endpoint.h"
#include "messages_types.h"

namespace sesamesaddle {

/** Converts a flow to its form in messages. */
schema::FlowKey ToKey(const Flow& flow);
/** Converts a flow from its form in messages. */
Flow FromKey(const schema::FlowKey& key);
/** Returns the flow's hash in a FlowDigest. */
int32_t DigestHash(const Flow& flow);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SCHEMA_FLOW_KEY_H_
