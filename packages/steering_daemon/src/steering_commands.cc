#include "steering_daemon/steering_commands.h"

#include <utility>
#include <variant>

#include "command/table.h"

namespace sesamesaddle {
namespace {

constexpr char kNoChanges[] =
    "refused: on packet flows the platform's operators write changes to its "
    "store; this process answers queries only";

schema::CommandReply MakeReply(schema::CommandOutcome::type outcome,
                               std::string message) {
  schema::CommandReply reply;
  reply.outcome = outcome;
  reply.message = std::move(message);
  return reply;
}

}  // namespace

void SteeringCommands::Execute(const std::string& text,
                               const CommandOptions& /*options*/, Done done) {
  const auto command = ParseCommand(text);
  if (!command) {
    auto reply = MakeReply(schema::CommandOutcome::kSyntaxError,
                           command.error().message);
    reply.__set_column(static_cast<int32_t>(command.error().column));
    done(reply);
  } else if (const auto* query = std::get_if<Query>(&*command)) {
    done(Answer(*query));
  } else if (std::holds_alternative<HelpRequest>(*command)) {
    done(MakeReply(schema::CommandOutcome::kDone, kCommandHelp));
  } else {
    done(MakeReply(schema::CommandOutcome::kRefused, kNoChanges));
  }
}

schema::CommandReply SteeringCommands::Answer(const Query& query) const {
  const auto table =
      tables_.TableOf(query.subject).and_then([&query](const auto& whole) {
        return FilterTable(whole, query.conditions);
      });
  if (!table) {
    return MakeReply(schema::CommandOutcome::kRefused,
                     "refused: " + table.error());
  }
  auto reply = MakeReply(schema::CommandOutcome::kDone, "");
  reply.__set_table(*table);
  return reply;
}

}  // namespace sesamesaddle
