#include "play_store.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace sesamesaddle {

std::string NameOf(const Play& play) {
  std::string name = std::filesystem::path(play.site).stem().string() + " " +
                     std::filesystem::path(play.day).stem().string();
  if (play.seed != 0) name += " seed " + std::to_string(play.seed);
  return name;
}

std::string PlayStore::PathOf(const Way& way, const Play& play) const {
  std::string name = way.name + " " + NameOf(play) +
                     (play.processor_time ? " with processor time" : "");
  for (char& c : name) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '-';
  }
  return folder_ + "/" + name + ".json";
}

std::optional<PlayResult> PlayStore::Read(const Way& way,
                                          const Play& play) const {
  std::ifstream file(PathOf(way, play));
  if (!file) return std::nullopt;
  std::stringstream text;
  text << file.rdbuf();
  const auto result = ParseBenchReport(text.str());
  if (!result) return std::nullopt;
  return *result;
}

}  // namespace sesamesaddle
