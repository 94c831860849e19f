#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "comparison.h"

namespace sesamesaddle {
namespace {

constexpr char kPlan[] = R"(
name = "two orders"
seeds = [0, 7]
[[way]]
name = "as it stands"
[[way]]
name = "other"
balancer = "--admission order=deadline"
[[deployment]]
site = "sites/a.toml"
days = ["quiet", "busy"]
)";

std::string Report(double worth, int in_time, const std::string& breaks) {
  return R"({"G": )" + std::to_string(worth) +
         R"(, "served": 0.9, "all": {"n": 100, "in_aim": )" +
         std::to_string(in_time) +
         R"(, "late": 3, "refused": 0, "failed": 2}, "prices": [["cloud calls",
         100, 0.02]], "breaks": {)" +
         breaks + R"(}, "fault": null})";
}

/** A folder of reports that is removed at the end. */
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/experiment_testXXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST_CASE("A plan names each play of its deployments, days and seeds") {
  const auto plan = ParseExperimentPlan(kPlan);
  REQUIRE(plan);
  CHECK(plan->ways.size() == 2);
  REQUIRE(plan->plays.size() == 4);
  CHECK(NameOf(plan->plays[1]) == "a quiet seed 7");
}

TEST_CASE("A plan with an unknown field or without ways or plays is refused") {
  const std::string text = kPlan;
  CHECK_FALSE(ParseExperimentPlan("jobs = 4\n" + text));
  CHECK_FALSE(ParseExperimentPlan(text + "days_off = []\n"));
  CHECK_FALSE(ParseExperimentPlan("name = \"x\"\n[[way]]\nname = \"a\"\n"));
  CHECK_FALSE(ParseExperimentPlan("name = \"x\"\n"));
  CHECK_FALSE(ParseExperimentPlan(text + "[[way]]\nname = \"other\"\n"));
  CHECK_FALSE(ParseExperimentPlan("name = "));
}

TEST_CASE("A varied play without processor time has both arguments") {
  const auto arguments =
      BenchArguments({"s.toml", "busy", 7, false}, "why", "r");
  const auto has = [&](const char* word) {
    return std::find(arguments.begin(), arguments.end(), word) !=
           arguments.end();
  };
  CHECK(has("--vary"));
  CHECK(has("7"));
  CHECK(has("--no-cpu"));
  CHECK(BenchArguments({"s.toml", "busy", 0, true}, "why", "r").size() == 9);
}

TEST_CASE("Arguments are added to the command of each role") {
  const std::string deploy =
      "run = \"x flow-balancer\"\nrun = \"x flow-agent\"\n";
  CHECK(*WithArguments(deploy, "--a", "--b c") ==
        "run = \"x flow-balancer --a\"\nrun = \"x flow-agent --b c\"\n");
  CHECK(*WithArguments(deploy, "", "") == deploy);
  CHECK_FALSE(WithArguments("run = \"x flow-agent\"\n", "", ""));
}

TEST_CASE("A report that lacks a figure is no result") {
  CHECK(ParseBenchReport(Report(0.9, 95, ""))->in_time == 95);
  CHECK(ParseBenchReport(Report(0.9, 95, R"("FLOW": 2)"))->broken_rules == 2);
  CHECK_FALSE(ParseBenchReport("{}"));
  CHECK_FALSE(ParseBenchReport(Report(0.9, 95, "").substr(0, 60)));
}

TEST_CASE("Ways are compared on the plays that all of them have finished") {
  const auto plan = ParseExperimentPlan(kPlan);
  const Folder folder;
  const PlayStore store(folder.path());
  const auto write = [&](size_t way, size_t play, const std::string& report) {
    std::ofstream(store.PathOf(plan->ways[way], plan->plays[play])) << report;
  };
  write(0, 0, Report(0.80, 90, ""));
  write(1, 0, Report(0.82, 92, ""));
  write(0, 1, Report(0.70, 80, ""));
  write(1, 1, Report(0.74, 84, R"("FLOW": 1)"));
  write(0, 2, Report(0.10, 10, ""));  // The other way has not played it.
  const auto summaries = Compare(*plan, store);
  REQUIRE(summaries.size() == 2);
  CHECK(summaries[0].plays == 2);
  CHECK(summaries[0].mean_worth == Approx(0.75));
  CHECK(summaries[1].mean_gain == Approx(0.03));
  CHECK(summaries[1].gain_error == Approx(0.01));
  CHECK(summaries[1].broken_plays == 1);
  const std::string table = FormatComparison(*plan, store);
  CHECK(table.find("| a busy | 0.100: 10, 3, 0, 2 | not run |") !=
        std::string::npos);
  CHECK(table.find("BROKEN") != std::string::npos);
}

}  // namespace
}  // namespace sesamesaddle
