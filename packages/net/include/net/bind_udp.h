#ifndef SESAMESADDLE_NET_BIND_UDP_H_
#define SESAMESADDLE_NET_BIND_UDP_H_

#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "net/net_error.h"

namespace sesamesaddle {

/**
 * Binds a UDP socket that does not block.
 * @param receive_buffer_bytes  asked of the system, which may give less
 * @return its descriptor, or why it could not be bound
 */
tl::expected<int, NetError> BindUdp(const Endpoint& local,
                                    int receive_buffer_bytes);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_BIND_UDP_H_
