#include "steering_daemon/steering_commands.h"

#include <utility>
#include <variant>

#include "command/table.h"
#include "operator_api/command_reply.h"

namespace sesamesaddle {
namespace {

constexpr char kChangesRefused[] =
    "refused: on packet flows the platform's operators write changes to its "
    "store; this process answers queries only";

}  // namespace

void SteeringCommands::Execute(const std::string& text,
                               const CommandOptions& /*options*/, Done done) {
  const auto command = ParseCommand(text);
  if (!command) {
    done(MakeReply(command.error()));
  } else if (const auto* query = std::get_if<Query>(&*command)) {
    done(Answer(*query));
  } else if (std::holds_alternative<HelpRequest>(*command)) {
    done(MakeReply(schema::CommandOutcome::kDone, kCommandHelp));
  } else {
    done(Refuse(std::get<schema::Change>(*command)));
  }
}

schema::CommandReply SteeringCommands::Refuse(
    const schema::Change& change) const {
  if (!change.__isset.set_zone_mode) {
    return MakeReply(schema::CommandOutcome::kRefused, kChangesRefused);
  }
  const schema::SetZoneMode& zone_mode = change.set_zone_mode;
  const std::string key = evacuation_prefix_ + zone_mode.zone;
  const std::string action =
      zone_mode.evacuated
          ? "evacuate zone " + zone_mode.zone + ", write " + key +
                " with any value"
          : "restore zone " + zone_mode.zone + ", remove " + key;
  return MakeReply(schema::CommandOutcome::kRefused,
                   "refused: on packet flows the platform's operators evacuate "
                   "zones in its store: to " +
                       action);
}

schema::CommandReply SteeringCommands::Answer(const Query& query) const {
  const auto table =
      tables_.BuildTable(query.subject).and_then([&query](const auto& whole) {
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
