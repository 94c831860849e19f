#ifndef SESAMESADDLE_NET_QUERY_H_
#define SESAMESADDLE_NET_QUERY_H_

#include <string>

namespace sesamesaddle {

/**
 * Returns the value of a parameter in a query string such as "a=1&b=2", or "".
 */
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_QUERY_H_
