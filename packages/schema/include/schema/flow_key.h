#ifndef SESAMESADDLE_SCHEMA_FLOW_KEY_H_
#define SESAMESADDLE_SCHEMA_FLOW_KEY_H_

#include "core/endpoint.h"
#include "messages_types.h"

namespace sesamesaddle {

/** @return the flow as messages carry it. */
schema::FlowKey ToKey(const Flow& flow);
/** @return the flow that a message names. */
Flow FromKey(const schema::FlowKey& key);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SCHEMA_FLOW_KEY_H_
