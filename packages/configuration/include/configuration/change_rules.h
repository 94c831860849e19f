#ifndef SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_
#define SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "configuration/zone_mode.h"
#include "configuration_types.h"

namespace sesamesaddle {

/** Why a change cannot be applied to a configuration. */
enum class RefusalReason {
  kServiceExists,
  kNoSuchService,
  kAddressInUse,
  kRuleExists,
  kNoSuchRule,
  kNoChange,
  kBadValue,
  kTooManyServices,
};

struct Refusal {
  RefusalReason reason;
  std::string message;  // The reason, for the operator.
};

constexpr int kDefaultDeadlineMs = 10000;
constexpr int kDefaultDrainGraceMs = 30000;
constexpr int kMinDeadlineMs = 10;
constexpr int kMaxDeadlineMs = 120000;
constexpr int kMaxDrainGraceMs = 3600000;
/** Keeps the snapshot below the platform's limit of 1 MB per value. */
constexpr size_t kMaxServices = 5000;
constexpr size_t kMaxRulesPerService = 64;
constexpr size_t kMaxNameBytes = 63;
/** The reserved instance name of an evacuated zone must be a valid name. */
constexpr size_t kMaxEvacuableZoneBytes =
    kMaxNameBytes - kZoneInstancePrefix.size();

/**
 * Validates a change and applies it, or returns the reason for its refusal and
 * leaves the configuration unchanged.
 * @param revision  the revision of the configuration after the change
 */
tl::expected<void, Refusal> ApplyChange(schema::Configuration& configuration,
                                        const schema::Change& change,
                                        int64_t revision);

/**
 * Returns whether `name` matches `pattern`, in which `*` matches any sequence
 * of characters and `?` any single one.
 */
bool MatchesPattern(std::string_view pattern, std::string_view name);

/** Returns whether a rule of `service` allows the target in this zone. */
bool MayServe(const schema::Service& service, std::string_view target,
              std::string_view zone);

/** Returns the mode of an instance; kServing unless an operator changed it. */
schema::InstanceMode::type ModeOf(const schema::Configuration& configuration,
                                  const std::string& instance);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_
