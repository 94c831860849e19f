#ifndef SESAMESADDLE_STEERING_DAEMON_DIRECTORY_ENTRIES_H_
#define SESAMESADDLE_STEERING_DAEMON_DIRECTORY_ENTRIES_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "steering_types.h"

namespace sesamesaddle {

/**
 * Decodes the entry of a target. Other writers may leave entries in the
 * directory; one that is refused names no target and leaves the one that was
 * read before under its key, or under the key of the agent that it names.
 * @return the record, or why it is refused: it is unreadable, a value is out of
 *     range, or its key is not the one that its agent writes
 */
tl::expected<schema::TargetRecord, std::string_view> DecodeTargetEntry(
    const std::string& key, const std::string& value);

/** Decodes the entry of a balancer; see DecodeTargetEntry. */
tl::expected<schema::BalancerRecord, std::string_view> DecodeBalancerEntry(
    const std::string& key, const std::string& value);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_DIRECTORY_ENTRIES_H_
