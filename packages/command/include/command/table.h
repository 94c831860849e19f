#ifndef SESAMESADDLE_COMMAND_TABLE_H_
#define SESAMESADDLE_COMMAND_TABLE_H_

#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"

namespace sesamesaddle {

/**
 * Returns the rows that meet all conditions, or an error message if a condition
 * names an unknown column. A cell and a value that are both numbers are
 * compared numerically, others as text.
 */
tl::expected<schema::Table, std::string> FilterTable(
    const schema::Table& table, const std::vector<Condition>& conditions);

/** Formats a table with aligned columns and a final line with the row count. */
std::string FormatTable(const schema::Table& table);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_COMMAND_TABLE_H_
