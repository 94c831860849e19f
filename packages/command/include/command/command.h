#ifndef SESAMESADDLE_COMMAND_COMMAND_H_
#define SESAMESADDLE_COMMAND_COMMAND_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "configuration_types.h"

namespace sesamesaddle {

/** What a query lists. */
enum class Subject { kServices, kTargets, kBalancers, kFlows, kChanges };

enum class Comparison { kEqual, kNotEqual, kLess, kGreater, kMatches };

/** One condition of a where clause, such as `zone = mtl`. */
struct Condition {
  std::string column;
  Comparison comparison = Comparison::kEqual;
  std::string value;
};

/** `show SUBJECT [where CONDITION [and CONDITION]...]` */
struct Query {
  Subject subject = Subject::kServices;
  std::vector<Condition> conditions;
};

struct HelpRequest {};

/** A command of the language, understood but not carried out yet. */
using Command = std::variant<schema::Change, Query, HelpRequest>;

/** What is wrong with a command, and where (columns count from 1). */
struct SyntaxError {
  size_t column = 1;
  std::string message;
};

/** Reads one command. See kCommandHelp for the language. */
tl::expected<Command, SyntaxError> ParseCommand(std::string_view text);

/** The language, one form a line. */
extern const char* const kCommandHelp;

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_COMMAND_COMMAND_H_
