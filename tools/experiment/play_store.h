#ifndef SESAMESADDLE_TOOLS_EXPERIMENT_PLAY_STORE_H_
#define SESAMESADDLE_TOOLS_EXPERIMENT_PLAY_STORE_H_

#include <optional>
#include <string>

#include "experiment_plan.h"

namespace sesamesaddle {

/**
 * The reports of an experiment's plays, a file each, so that an experiment that
 * was stopped goes on where it was.
 */
class PlayStore {
 public:
  /** @param folder  created when the first report is written */
  explicit PlayStore(std::string folder) : folder_(std::move(folder)) {}

  /** Returns the path of the report of a play with that way. */
  std::string PathOf(const Way& way, const Play& play) const;
  /** Returns the result of the play; nothing if it was not played or failed. */
  std::optional<PlayResult> Read(const Way& way, const Play& play) const;

 private:
  std::string folder_;
};

/** Returns a short name of the play for tables and logs. */
std::string NameOf(const Play& play);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_EXPERIMENT_PLAY_STORE_H_
