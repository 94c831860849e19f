#include "experiment_plan.h"

#include <toml++/toml.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace sesamesaddle {
namespace {

/** Returns the first key that is not in `known`, or an empty string. */
std::string UnknownKey(const toml::table& table,
                       const std::set<std::string_view>& known) {
  for (const auto& [key, node] : table) {
    if (known.count(key.str()) == 0) return std::string(key.str());
  }
  return "";
}

/** Returns the tables of an array; an empty list if it is not there. */
std::vector<const toml::table*> Tables(const toml::table& table,
                                       const char* name) {
  std::vector<const toml::table*> tables;
  if (const toml::array* array = table[name].as_array()) {
    for (const toml::node& node : *array) {
      if (node.is_table()) tables.push_back(node.as_table());
    }
  }
  return tables;
}

std::string ReadWays(const toml::table& table, ExperimentPlan& plan) {
  std::set<std::string> names;
  for (const toml::table* entry : Tables(table, "way")) {
    const std::string unknown =
        UnknownKey(*entry, {"name", "balancer", "agent"});
    if (!unknown.empty()) return "way: unknown field " + unknown;
    const Way way{(*entry)["name"].value_or(""),
                  (*entry)["balancer"].value_or(""),
                  (*entry)["agent"].value_or("")};
    if (way.name.empty()) return "a way has no name";
    if (!names.insert(way.name).second) return "two ways are named " + way.name;
    plan.ways.push_back(way);
  }
  return plan.ways.empty() ? "no way is given" : "";
}

std::string ReadPlays(const toml::table& table, ExperimentPlan& plan) {
  std::vector<int> seeds;
  if (const toml::array* array = table["seeds"].as_array()) {
    for (const toml::node& node : *array) {
      const auto seed = node.value<int>();
      if (!seed || *seed < 0) return "seeds are numbers from 0";
      seeds.push_back(*seed);
    }
  }
  if (seeds.empty()) seeds.push_back(0);
  for (const toml::table* entry : Tables(table, "deployment")) {
    const std::string unknown = UnknownKey(*entry, {"site", "days"});
    if (!unknown.empty()) return "deployment: unknown field " + unknown;
    const std::string site = (*entry)["site"].value_or("");
    const toml::array* days = (*entry)["days"].as_array();
    if (site.empty() || days == nullptr) {
      return "a deployment lacks site or days";
    }
    for (const toml::node& day : *days) {
      for (const int seed : seeds) {
        plan.plays.push_back({site, day.value_or(std::string()), seed,
                              table["processor_time"].value_or(false)});
      }
    }
  }
  return plan.plays.empty() ? "no deployment is given" : "";
}

}  // namespace

tl::expected<ExperimentPlan, std::string> ParseExperimentPlan(
    std::string_view document) {
  toml::table table;
  try {
    table = toml::parse(document);
  } catch (const toml::parse_error& parse_error) {
    std::ostringstream text;
    text << parse_error;
    return tl::unexpected(text.str());
  }
  const std::string unknown = UnknownKey(
      table, {"name", "seeds", "processor_time", "way", "deployment"});
  if (!unknown.empty()) return tl::unexpected("unknown field " + unknown);
  ExperimentPlan plan;
  plan.name = table["name"].value_or("");
  if (plan.name.empty()) {
    return tl::unexpected(std::string("the plan has no name"));
  }
  std::string error = ReadWays(table, plan);
  if (error.empty()) error = ReadPlays(table, plan);
  if (!error.empty()) return tl::unexpected(error);
  return plan;
}

}  // namespace sesamesaddle
