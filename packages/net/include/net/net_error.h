#ifndef SESAMESADDLE_NET_NET_ERROR_H_
#define SESAMESADDLE_NET_NET_ERROR_H_

#include <string>

namespace sesamesaddle {

/** Why a socket could not be opened: the operation and the system's error. */
struct NetError {
  std::string message;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_NET_ERROR_H_
