#include "daemon/operator_commands.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "command/table.h"
#include "configuration/change_rules.h"
#include "configuration/zone_mode.h"
#include "daemon/zone_table.h"
#include "operator_api/command_reply.h"

namespace sesamesaddle {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(100);
// Limits the datagrams that a pending command sends per poll to query the
// revisions of members.
constexpr size_t kMaxQueriesPerPoll = 200;

const char* ToString(schema::Priority::type priority) {
  switch (priority) {
    case schema::Priority::kHigh:
      return "high";
    case schema::Priority::kNormal:
      return "normal";
    case schema::Priority::kLow:
      return "low";
  }
  return "?";
}

const char* ToString(schema::MemberState::type state) {
  switch (state) {
    case schema::MemberState::kAlive:
      return "alive";
    case schema::MemberState::kSuspect:
      return "suspect";
    case schema::MemberState::kDead:
      return "dead";
    case schema::MemberState::kLeft:
      return "left";
  }
  return "?";
}

const char* ToString(schema::InstanceMode::type mode) {
  switch (mode) {
    case schema::InstanceMode::kServing:
      return "serving";
    case schema::InstanceMode::kDraining:
      return "draining";
    case schema::InstanceMode::kRetired:
      return "retired";
  }
  return "?";
}

const char* DescribeMode(const schema::Configuration& configuration,
                         const schema::MemberRecord& record) {
  const auto mode = ModeOf(configuration, record.name);
  if (mode != schema::InstanceMode::kServing) return ToString(mode);
  if (IsEvacuated(configuration, record.zone)) return "evacuated";
  return record.draining ? "stopping" : ToString(mode);
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text.empty() ? "-" : text;
}

schema::Row MakeRow(std::vector<std::string> cells) {
  schema::Row row;
  row.cells = std::move(cells);
  return row;
}

}  // namespace

struct OperatorCommands::PendingReply {
  schema::CommandReply reply;
  Revision revision;
  TimePoint deadline;
  Done done;
};

OperatorCommands::OperatorCommands(Role& role, ChangeLog& change_log,
                                   Scheduler& scheduler, RandomSource& random,
                                   ActionExecutor execute_actions)
    : role_(role),
      change_log_(change_log),
      scheduler_(scheduler),
      random_(random),
      execute_actions_(std::move(execute_actions)) {}

void OperatorCommands::Execute(const std::string& text,
                               const CommandOptions& options, Done done) {
  const auto command = ParseCommand(text);
  if (!command) {
    done(MakeReply(command.error()));
    return;
  }
  if (const auto* change = std::get_if<schema::Change>(&*command)) {
    Submit(*change, text, options, std::move(done));
    return;
  }
  if (const auto* query = std::get_if<Query>(&*command)) {
    done(RunQuery(*query));
    return;
  }
  done(MakeReply(schema::CommandOutcome::kDone, kCommandHelp));
}

void OperatorCommands::Submit(const schema::Change& change,
                              const std::string& text,
                              const CommandOptions& options, Done done) {
  schema::ChangeRecord record;
  record.revision = 0;
  record.change_id = options.change_id;
  if (record.change_id.empty()) {
    char digits[20];
    snprintf(digits, sizeof(digits), "%016llx",
             static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                 random_.Next()));
    record.change_id = digits;
  }
  record.author = options.author;
  record.time_ms = WallClockMs();
  record.change = change;
  record.text = text;
  const schema::ChangeRecord submitted = record;
  change_log_.Submit(std::move(record), kSubmitTimeout,
                     [this, submitted, wait = options.wait,
                      done = std::move(done)](const SubmitResult& result) {
                       OnSubmitted(result, submitted, wait, done);
                     });
}

void OperatorCommands::OnSubmitted(const SubmitResult& result,
                                   const schema::ChangeRecord& submitted,
                                   Duration wait, const Done& done) {
  schema::CommandReply reply;
  reply.__set_change_id(submitted.change_id);
  switch (result.outcome) {
    case SubmitResult::Outcome::kAccepted:
      reply.outcome = schema::CommandOutcome::kAccepted;
      reply.message = "accepted, revision " + std::to_string(result.revision);
      if (submitted.change.__isset.set_zone_mode) {
        reply.message +=
            DescribeZoneEffect(role_.control(), submitted.change.set_zone_mode);
      }
      reply.__set_revision(result.revision);
      break;
    case SubmitResult::Outcome::kRefused:
      reply.outcome = schema::CommandOutcome::kRefused;
      reply.message = "refused: " + result.message;
      break;
    case SubmitResult::Outcome::kUnknown:
      reply.outcome = schema::CommandOutcome::kOutcomeUnknown;
      reply.message =
          "outcome unknown: " + result.message +
          "; ask with: show changes where change = " + submitted.change_id;
      break;
  }
  if (reply.outcome != schema::CommandOutcome::kAccepted ||
      wait == Duration::zero()) {
    done(reply);
    return;
  }
  auto pending = std::make_shared<PendingReply>();
  pending->reply = std::move(reply);
  pending->revision = Revision(result.revision);
  pending->deadline = scheduler_.Now() + wait;
  pending->done = done;
  PollUntilInForce(pending);
}

void OperatorCommands::PollUntilInForce(
    const std::shared_ptr<PendingReply>& pending) {
  ControlPlane& control = role_.control();
  const size_t process_count = control.membership().present_count() + 1;
  const size_t in_force_count =
      control.CountMembersWithRevision(pending->revision);
  const bool timed_out = scheduler_.Now() >= pending->deadline;
  if (in_force_count >= process_count || timed_out) {
    pending->reply.message += "; in force at " +
                              std::to_string(in_force_count) + " of " +
                              std::to_string(process_count) + " processes";
    pending->done(pending->reply);
    return;
  }
  Outbox out;
  control.RequestRevisions(pending->revision, kMaxQueriesPerPoll, out);
  execute_actions_(out);
  scheduler_.After(kPollPeriod, [this, pending] { PollUntilInForce(pending); });
}

schema::CommandReply OperatorCommands::RunQuery(const Query& query) const {
  const auto table =
      MakeTable(query.subject).and_then([&query](const auto& whole) {
        return FilterTable(whole, query.conditions);
      });
  if (!table) {
    return MakeReply(schema::CommandOutcome::kRefused, table.error());
  }
  auto reply = MakeReply(schema::CommandOutcome::kDone, "");
  reply.__set_table(*table);
  return reply;
}

tl::expected<schema::Table, std::string> OperatorCommands::MakeTable(
    Subject subject) const {
  switch (subject) {
    case Subject::kServices:
      return ServicesTable();
    case Subject::kTargets:
      return MembersTable(schema::Role::kAgent);
    case Subject::kBalancers:
      return MembersTable(schema::Role::kBalancer);
    case Subject::kFlows:
      return FlowsTable();
    case Subject::kChanges:
      return ChangesTable();
    case Subject::kZones:
      return ZonesTable();
    case Subject::kLoad:
      break;
  }
  return tl::unexpected(
      std::string("refused: balancers of packet flows have the table of load; "
                  "here show zones lists the flows of each zone"));
}

schema::Table OperatorCommands::ServicesTable() const {
  schema::Table table;
  table.columns = {"name",     "address", "priority", "deadline_ms",
                   "grace_ms", "targets", "rules"};
  const ControlPlane& control = role_.control();
  for (const auto& [name, service] : control.replica().current().services) {
    std::vector<std::string> rules;
    for (const schema::TargetRule& rule : service.targets) {
      rules.push_back(rule.pattern +
                      (rule.zone.empty() ? "" : "@" + rule.zone));
    }
    const ServiceEntry* entry = control.services().Find(ServiceId(service.id));
    const size_t targets = entry == nullptr ? 0 : entry->agents.size();
    table.rows.push_back(MakeRow(
        {name, Endpoint::Unpack(service.address).ToString(),
         ToString(service.priority), std::to_string(service.deadline_ms),
         std::to_string(service.drain_grace_ms), std::to_string(targets),
         Join(rules)}));
  }
  return table;
}

schema::Table OperatorCommands::MembersTable(schema::Role::type role) const {
  schema::Table table;
  table.columns = {"name", "zone", "address", "state", "mode", "admin"};
  if (role == schema::Role::kAgent) {
    table.columns.insert(table.columns.end(), {"slots", "services"});
  }
  const ControlPlane& control = role_.control();
  const auto add = [&](const schema::MemberRecord& record) {
    if (record.role != role) return;
    std::vector<std::string> cells = {
        record.name,
        record.zone,
        Endpoint::Unpack(record.endpoint).ToString(),
        ToString(record.state),
        DescribeMode(control.replica().current(), record),
        Endpoint::Unpack(record.admin).ToString()};
    if (role == schema::Role::kAgent) {
      std::vector<std::string> services;
      for (const auto& [name, service] : control.replica().current().services) {
        if (MayServe(service, record.name, record.zone)) {
          services.push_back(name);
        }
      }
      cells.push_back(std::to_string(record.slots));
      cells.push_back(Join(services));
    }
    table.rows.push_back(MakeRow(std::move(cells)));
  };
  add(control.membership().self());
  for (const auto& [id, member] : control.membership().members()) {
    add(member.record);
  }
  std::sort(table.rows.begin(), table.rows.end(),
            [](const schema::Row& a, const schema::Row& b) {
              return a.cells < b.cells;
            });
  return table;
}

schema::Table OperatorCommands::FlowsTable() const {
  schema::StateDump dump;
  role_.FillDump(scheduler_.Now(), dump);
  schema::Table table;
  table.columns = {"caller", "service", "feeds", "running", "epoch"};
  for (const schema::FlowDump& flow : dump.flows) {
    table.rows.push_back(
        MakeRow({flow.caller, flow.service_address, std::to_string(flow.feeds),
                 std::to_string(flow.running), std::to_string(flow.epoch)}));
  }
  return table;
}

schema::Table OperatorCommands::ZonesTable() const {
  schema::StateDump dump;
  role_.FillDump(scheduler_.Now(), dump);
  return MakeZonesTable(role_.control(), dump.loads);
}

schema::Table OperatorCommands::ChangesTable() const {
  schema::Table table;
  table.columns = {"revision", "change", "author", "time_ms", "text"};
  for (const schema::ChangeRecord& record :
       role_.control().replica().recent()) {
    table.rows.push_back(
        MakeRow({std::to_string(record.revision), record.change_id,
                 record.author, std::to_string(record.time_ms), record.text}));
  }
  return table;
}

}  // namespace sesamesaddle
