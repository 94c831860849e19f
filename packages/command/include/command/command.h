#ifndef SESAMESADDLE_COMMAND_COMMAND_H_
#define SESAMESADDLE_COMMAND_COMMAND_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "configuration_types.h"

namespace sesamesaddle {

/** The kind of objects that a query lists. */
enum class Subject {
  kServices,
  kTargets,
  kBalancers,
  kFlows,
  kChanges,
  kZones,
  kLoad
};

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

/** A parsed operator command. */
using Command = std::variant<schema::Change, Query, HelpRequest>;

/** Describes a syntax error and its column, counted from 1. */
struct SyntaxError {
  size_t column = 1;
  std::string message;
};

/** Parses one command. kCommandHelp describes the syntax. */
tl::expected<Command, SyntaxError> ParseCommand(std::string_view text);

/** Help text: the syntax of each command. */
extern const char* const kCommandHelp;

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_COMMAND_COMMAND_H_
