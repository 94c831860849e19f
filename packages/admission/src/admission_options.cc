#include "admission/admission_options.h"

#include <functional>
#include <map>

namespace sesamesaddle {
namespace {

using Choice = std::function<void(AdmissionOptions&)>;

const std::map<std::string, Choice, std::less<>>& KnownChoices() {
  static const std::map<std::string, Choice, std::less<>> choices = {
      {"order=priority",
       [](AdmissionOptions& o) { o.order = QueueOrder::kPriority; }},
      {"order=deadline",
       [](AdmissionOptions& o) { o.order = QueueOrder::kDeadline; }},
      {"room-wait=bounded",
       [](AdmissionOptions& o) { o.room_wait = RoomWait::kBounded; }},
      {"room-wait=attempt",
       [](AdmissionOptions& o) { o.room_wait = RoomWait::kAttempt; }},
  };
  return choices;
}

std::string DescribeUnknown(std::string_view choice) {
  std::string error = "unknown choice \"" + std::string(choice) + "\"; known:";
  for (const auto& [name, apply] : KnownChoices()) error += " " + name;
  return error;
}

}  // namespace

tl::expected<AdmissionOptions, std::string> ParseAdmissionOptions(
    std::string_view choices, AdmissionOptions base) {
  while (!choices.empty()) {
    const size_t comma = choices.find(',');
    const std::string_view choice = choices.substr(0, comma);
    const auto known = KnownChoices().find(choice);
    if (known == KnownChoices().end()) {
      return tl::unexpected(DescribeUnknown(choice));
    }
    known->second(base);
    if (comma == std::string_view::npos) break;
    choices.remove_prefix(comma + 1);
  }
  return base;
}

}  // namespace sesamesaddle
