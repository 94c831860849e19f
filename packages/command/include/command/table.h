#ifndef SESAMESADDLE_COMMAND_TABLE_H_
#define SESAMESADDLE_COMMAND_TABLE_H_

#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"

namespace sesamesaddle {

/**
 * Keeps the rows for which every condition holds. Numbers compare as numbers.
 * @return the rows, or a message that names a column the table does not have.
 */
tl::expected<schema::Table, std::string> FilterTable(
    const schema::Table& table, const std::vector<Condition>& conditions);

/** @return the table with aligned columns, ending in a count of rows. */
std::string FormatTable(const schema::Table& table);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_COMMAND_TABLE_H_
