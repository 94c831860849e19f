#ifndef SESAMESADDLE_STEERING_DAEMON_CONTROL_MESSAGE_H_
#define SESAMESADDLE_STEERING_DAEMON_CONTROL_MESSAGE_H_

#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "steering_types.h"

namespace sesamesaddle {

/**
 * Decodes a control datagram and checks the range of its values. A message that
 * is refused changes nothing. Fields that this version does not know are left
 * out.
 * @param from  sender of the datagram; a report is of an agent at its address
 * @return the message, or why it is refused
 */
tl::expected<schema::SteeringMessage, std::string_view> DecodeControlMessage(
    const Endpoint& from, std::string_view bytes);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_CONTROL_MESSAGE_H_
