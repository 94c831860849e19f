#ifndef SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_
#define SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

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
  std::string message;  // Names what stands against the change.
};

constexpr int kDefaultDeadlineMs = 10000;
constexpr int kDefaultDrainGraceMs = 30000;
constexpr int kMinDeadlineMs = 10;
constexpr int kMaxDeadlineMs = 120000;
constexpr int kMaxDrainGraceMs = 3600000;
/** Keeps the snapshot below the platform's limit of a megabyte a value. */
constexpr size_t kMaxServices = 5000;
constexpr size_t kMaxRulesPerService = 64;
constexpr size_t kMaxNameBytes = 63;

/**
 * Applies a change that was checked, or refuses it and leaves the
 * configuration as it was.
 * @param revision  the revision the configuration has afterwards
 */
tl::expected<void, Refusal> ApplyChange(schema::Configuration& configuration,
                                        const schema::Change& change,
                                        int64_t revision);

/** Whether `name` matches a pattern with `*` (any run) and `?` (any one). */
bool MatchesPattern(std::string_view pattern, std::string_view name);

/** Whether a target of that name and zone may serve the service. */
bool MayServe(const schema::Service& service, std::string_view target,
              std::string_view zone);

/** The mode of an instance; serving unless an operator changed it. */
schema::InstanceMode::type ModeOf(const schema::Configuration& configuration,
                                  const std::string& instance);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_CHANGE_RULES_H_
