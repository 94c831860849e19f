#include "load_scenario.h"

#include <toml++/toml.h>

#include <set>
#include <sstream>

namespace sesamesaddle {
namespace {

/** Reads the fields of a table, and records the first error. */
class TableReader {
 public:
  TableReader(const toml::table& table, std::string place, std::string& error)
      : table_(table), place_(std::move(place)), error_(error) {}

  template <typename Value>
  void Read(const char* name, Value& value) {
    known_.insert(name);
    const toml::node* node = table_.get(name);
    if (node == nullptr) return;
    const auto read = node->value<Value>();
    if (read) {
      value = *read;
    } else {
      Fail(std::string(name) + " has another type");
    }
  }
  /** Reads a number that is at least `least`. */
  void ReadNumber(const char* name, double least, double& value) {
    Read(name, value);
    if (value < least) Fail(std::string(name) + " is too small");
  }
  template <typename Count>
  void ReadCount(const char* name, Count& value) {
    auto count = static_cast<int64_t>(value);
    Read(name, count);
    if (count < 1) Fail(std::string(name) + " is less than 1");
    value = static_cast<Count>(count);
  }
  /** Reads a time in milliseconds. */
  void ReadTime(const char* name, Duration& value) {
    double ms = std::chrono::duration<double, std::milli>(value).count();
    ReadNumber(name, 0, ms);
    value = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }
  template <typename Item, typename ReadItem>
  void ReadTables(const char* name, std::vector<Item>& items,
                  ReadItem read_item) {
    known_.insert(name);
    const toml::array* array = table_[name].as_array();
    if (array == nullptr) return;
    for (const toml::node& node : *array) {
      if (!node.is_table()) {
        Fail(std::string(name) + " is not a list of tables");
        return;
      }
      TableReader reader(*node.as_table(), name, error_);
      Item item;
      read_item(reader, item);
      reader.CheckNames();
      items.push_back(std::move(item));
    }
  }
  /** Refuses fields that were not read: they may be misspelled. */
  void CheckNames() {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (known_.count(name) == 0) Fail("unknown field " + name);
    }
  }

 private:
  void Fail(const std::string& reason) {
    if (error_.empty()) error_ = place_ + ": " + reason;
  }

  const toml::table& table_;
  std::string place_;
  std::string& error_;
  std::set<std::string> known_;
};

void ReadClass(TableReader& reader, RequestClass& requests) {
  reader.Read("name", requests.name);
  reader.ReadNumber("per_second", 0, requests.per_second);
  reader.ReadTime("service_ms", requests.service_time);
  reader.ReadNumber("spread", 0, requests.spread);
  reader.ReadTime("target_latency_ms", requests.target_latency);
  reader.ReadTime("deadline_ms", requests.deadline);
  reader.Read("priority", requests.priority);
  reader.Read("keeps_flow", requests.keeps_flow);
  reader.Read("runs_once", requests.runs_once);
  reader.ReadNumber("value", 0, requests.value);
}

void ReadSlowPeriod(TableReader& reader, SlowPeriod& period) {
  reader.ReadTime("at_ms", period.at);
  reader.ReadTime("length_ms", period.length);
  reader.ReadNumber("share", 0, period.share);
  reader.ReadNumber("factor", 1, period.factor);
}

void ReadBurst(TableReader& reader, Burst& burst) {
  reader.ReadTime("at_ms", burst.at);
  reader.ReadTime("length_ms", burst.length);
  reader.ReadNumber("factor", 0, burst.factor);
}

}  // namespace

tl::expected<LoadScenario, std::string> ParseLoadScenario(
    std::string_view document) {
  toml::table table;
  try {
    table = toml::parse(document);
  } catch (const toml::parse_error& parse_error) {
    std::ostringstream text;
    text << parse_error;
    return tl::unexpected(text.str());
  }
  std::string error;
  LoadScenario scenario;
  TableReader reader(table, "scenario", error);
  reader.Read("name", scenario.name);
  reader.ReadCount("balancers", scenario.balancers);
  reader.ReadCount("targets", scenario.targets);
  reader.ReadCount("slots", scenario.slots);
  reader.ReadCount("target_queue", scenario.target_queue);
  reader.ReadNumber("cold_factor", 1, scenario.cold_factor);
  reader.ReadTime("cold_ms", scenario.cold_time);
  reader.ReadTime("length_ms", scenario.length);
  reader.ReadTime("outage_at_ms", scenario.outage_at);
  reader.ReadTime("outage_length_ms", scenario.outage_length);
  reader.ReadTables("class", scenario.classes, ReadClass);
  reader.ReadTables("slow", scenario.slow_periods, ReadSlowPeriod);
  reader.ReadTables("burst", scenario.bursts, ReadBurst);
  reader.CheckNames();
  if (error.empty() && scenario.classes.empty()) error = "no class is given";
  if (!error.empty()) return tl::unexpected(error);
  return scenario;
}

}  // namespace sesamesaddle
