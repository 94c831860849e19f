#include "operator_api/command_reply.h"

#include <utility>

namespace sesamesaddle {

schema::CommandReply MakeReply(schema::CommandOutcome::type outcome,
                               std::string message) {
  schema::CommandReply reply;
  reply.outcome = outcome;
  reply.message = std::move(message);
  return reply;
}

schema::CommandReply MakeReply(const SyntaxError& error) {
  auto reply = MakeReply(schema::CommandOutcome::kSyntaxError, error.message);
  reply.__set_column(static_cast<int32_t>(error.column));
  return reply;
}

}  // namespace sesamesaddle
