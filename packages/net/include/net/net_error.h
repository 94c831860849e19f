#ifndef SESAMESADDLE_NET_NET_ERROR_H_
#define SESAMESADDLE_NET_NET_ERROR_H_

#include <string>

namespace sesamesaddle {

/** A socket that could not be opened: what was tried and the system's reason.
 */
struct NetError {
  std::string message;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_NET_ERROR_H_
