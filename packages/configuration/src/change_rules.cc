#include "configuration/change_rules.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "configuration/zone_mode.h"
#include "core/endpoint.h"

namespace sesamesaddle {
namespace {

using Result = tl::expected<void, Refusal>;

Result Refuse(RefusalReason reason, std::string message) {
  return tl::unexpected(Refusal{reason, std::move(message)});
}

bool IsName(const std::string& name, std::string_view extra = "") {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [extra](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
                  extra.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

Result CheckName(const std::string& name) {
  if (IsName(name)) return {};
  return Refuse(RefusalReason::kBadValue,
                "\"" + name + "\" is not a name (letters, digits, - _ .)");
}

Result CheckRange(const char* what, int value, int low, int high) {
  if (value >= low && value <= high) return {};
  return Refuse(RefusalReason::kBadValue, std::string(what) + " must be from " +
                                              std::to_string(low) + " to " +
                                              std::to_string(high) + " ms");
}

Result CheckAddressFree(const schema::Configuration& configuration,
                        int64_t address, const std::string& name) {
  for (const auto& [other, service] : configuration.services) {
    if (service.address == address && other != name) {
      return Refuse(RefusalReason::kAddressInUse,
                    Endpoint::Unpack(address).ToString() +
                        " belongs to service " + other);
    }
  }
  return {};
}

Result NoSuchService(const std::string& name) {
  return Refuse(RefusalReason::kNoSuchService, "there is no service " + name);
}

/** Applies and checks the fields shared by CreateService and ChangeService. */
template <typename Fields>
Result ApplyFields(const schema::Configuration& configuration,
                   const Fields& fields, schema::Service& service) {
  if (fields.__isset.priority) service.priority = fields.priority;
  if (fields.__isset.deadline_ms) service.deadline_ms = fields.deadline_ms;
  if (fields.__isset.drain_grace_ms) {
    service.drain_grace_ms = fields.drain_grace_ms;
  }
  return CheckAddressFree(configuration, service.address, service.name)
      .and_then([&] {
        return CheckRange("deadline", service.deadline_ms, kMinDeadlineMs,
                          kMaxDeadlineMs);
      })
      .and_then([&] {
        return CheckRange("drain-grace", service.drain_grace_ms, 0,
                          kMaxDrainGraceMs);
      });
}

Result Create(schema::Configuration& configuration,
              const schema::CreateService& change, int64_t revision) {
  if (auto named = CheckName(change.name); !named) return named;
  if (configuration.services.count(change.name) != 0) {
    return Refuse(RefusalReason::kServiceExists,
                  "service " + change.name + " exists");
  }
  if (configuration.services.size() >= kMaxServices) {
    return Refuse(
        RefusalReason::kTooManyServices,
        "there are " + std::to_string(kMaxServices) + " services already");
  }
  schema::Service service;
  service.id = revision;
  service.name = change.name;
  service.address = change.address;
  service.priority = schema::Priority::kNormal;
  service.deadline_ms = kDefaultDeadlineMs;
  service.drain_grace_ms = kDefaultDrainGraceMs;
  if (auto valid = ApplyFields(configuration, change, service); !valid) {
    return valid;
  }
  configuration.services[service.name] = service;
  return {};
}

Result Modify(schema::Configuration& configuration,
              const schema::ChangeService& change) {
  const auto it = configuration.services.find(change.name);
  if (it == configuration.services.end()) return NoSuchService(change.name);
  schema::Service service = it->second;
  if (change.__isset.address) service.address = change.address;
  if (auto valid = ApplyFields(configuration, change, service); !valid) {
    return valid;
  }
  if (service == it->second) {
    return Refuse(RefusalReason::kNoChange, "nothing would change");
  }
  it->second = service;
  return {};
}

Result Allow(schema::Configuration& configuration,
             const schema::AllowTargets& change) {
  const auto it = configuration.services.find(change.service_name);
  if (it == configuration.services.end()) {
    return NoSuchService(change.service_name);
  }
  if (!IsName(change.rule.pattern, "*?")) {
    return Refuse(RefusalReason::kBadValue,
                  "\"" + change.rule.pattern + "\" is not a name pattern");
  }
  auto& rules = it->second.targets;
  if (std::find(rules.begin(), rules.end(), change.rule) != rules.end()) {
    return Refuse(RefusalReason::kRuleExists, "the rule exists");
  }
  if (rules.size() >= kMaxRulesPerService) {
    return Refuse(
        RefusalReason::kBadValue,
        "the service has " + std::to_string(rules.size()) + " rules already");
  }
  rules.push_back(change.rule);
  return {};
}

Result Deny(schema::Configuration& configuration,
            const schema::DenyTargets& change) {
  const auto it = configuration.services.find(change.service_name);
  if (it == configuration.services.end()) {
    return NoSuchService(change.service_name);
  }
  auto& rules = it->second.targets;
  const auto rule = std::find(rules.begin(), rules.end(), change.rule);
  if (rule == rules.end()) {
    return Refuse(RefusalReason::kNoSuchRule, "there is no such rule");
  }
  rules.erase(rule);
  return {};
}

Result SetMode(schema::Configuration& configuration,
               const schema::SetInstanceMode& change, int64_t revision) {
  if (auto named = CheckName(change.name); !named) return named;
  if (ModeOf(configuration, change.name) == change.mode) {
    return Refuse(RefusalReason::kNoChange,
                  "the instance is in that mode already");
  }
  if (change.mode == schema::InstanceMode::kServing) {
    configuration.instances.erase(change.name);
  } else {
    configuration.instances[change.name] = change.mode;
  }
  UpdateEvacuatedZone(configuration, change.name, revision);
  return {};
}

/**
 * Applies the instance form of the change, so that processes that know only
 * that form accept and refuse the same records.
 */
Result SetZone(schema::Configuration& configuration,
               const schema::SetZoneMode& zone_mode, int64_t revision) {
  const std::string& zone = zone_mode.zone;
  if (auto named = CheckName(zone); !named) return named;
  if (zone.size() > kMaxEvacuableZoneBytes) {
    return Refuse(RefusalReason::kBadValue,
                  "a zone whose name is longer than " +
                      std::to_string(kMaxEvacuableZoneBytes) +
                      " bytes cannot be evacuated");
  }
  schema::Change change;
  change.__set_set_zone_mode(zone_mode);
  AddInstanceForm(change);
  return SetMode(configuration, change.set_instance_mode, revision)
      .map_error([&](const Refusal& refusal) -> Refusal {
        if (refusal.reason != RefusalReason::kNoChange) return refusal;
        return {refusal.reason,
                "zone " + zone +
                    (zone_mode.evacuated ? " is evacuated already"
                                         : " is not evacuated")};
      });
}

Result Dispatch(schema::Configuration& configuration,
                const schema::Change& change, int64_t revision) {
  if (change.__isset.create_service) {
    return Create(configuration, change.create_service, revision);
  }
  if (change.__isset.change_service) {
    return Modify(configuration, change.change_service);
  }
  if (change.__isset.remove_service) {
    const std::string& name = change.remove_service.name;
    if (configuration.services.erase(name) == 0) return NoSuchService(name);
    return {};
  }
  if (change.__isset.allow_targets) {
    return Allow(configuration, change.allow_targets);
  }
  if (change.__isset.deny_targets) {
    return Deny(configuration, change.deny_targets);
  }
  if (change.__isset.set_zone_mode) {
    return SetZone(configuration, change.set_zone_mode, revision);
  }
  if (change.__isset.set_instance_mode) {
    return SetMode(configuration, change.set_instance_mode, revision);
  }
  return Refuse(RefusalReason::kBadValue, "the change is empty");
}

}  // namespace

tl::expected<void, Refusal> ApplyChange(schema::Configuration& configuration,
                                        const schema::Change& change,
                                        int64_t revision) {
  auto result = Dispatch(configuration, change, revision);
  if (result) configuration.revision = revision;
  return result;
}

bool MatchesPattern(std::string_view pattern, std::string_view name) {
  size_t p = 0;
  size_t n = 0;
  std::optional<size_t> star;
  size_t star_name = 0;
  while (n < name.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      star_name = n;
    } else if (p < pattern.size() &&
               (pattern[p] == '?' || pattern[p] == name[n])) {
      ++p;
      ++n;
    } else if (star) {
      p = *star + 1;
      n = ++star_name;
    } else {
      return false;
    }
  }
  return pattern.find_first_not_of('*', p) == std::string_view::npos;
}

bool MayServe(const schema::Service& service, std::string_view target,
              std::string_view zone) {
  return std::any_of(service.targets.begin(), service.targets.end(),
                     [&](const schema::TargetRule& rule) {
                       return (rule.zone.empty() || rule.zone == zone) &&
                              MatchesPattern(rule.pattern, target);
                     });
}

schema::InstanceMode::type ModeOf(const schema::Configuration& configuration,
                                  const std::string& instance) {
  const auto it = configuration.instances.find(instance);
  return it == configuration.instances.end() ? schema::InstanceMode::kServing
                                             : it->second;
}

}  // namespace sesamesaddle
