#ifndef SESAMESADDLE_NET_BIND_UDP_H_
#define SESAMESADDLE_NET_BIND_UDP_H_

#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "net/net_error.h"

namespace sesamesaddle {

/**
 * Opens a non-blocking UDP socket and binds it to `local`.
 * @param receive_buffer_bytes  requested size; the kernel may limit it
 * @return the file descriptor, or why it could not be bound
 */
tl::expected<int, NetError> BindUdp(const Endpoint& local,
                                    int receive_buffer_bytes);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_BIND_UDP_H_
