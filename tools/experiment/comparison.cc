#include "comparison.h"

#include <cmath>
#include <cstdio>
#include <map>
#include <optional>

namespace sesamesaddle {
namespace {

/** Results of one play, in the order of the ways; empty unless all have one. */
std::vector<PlayResult> ResultsOf(const ExperimentPlan& plan,
                                  const PlayStore& store, const Play& play) {
  std::vector<PlayResult> results;
  for (const Way& way : plan.ways) {
    const auto result = store.Read(way, play);
    if (!result) return {};
    results.push_back(*result);
  }
  return results;
}

bool IsBroken(const PlayResult& result) {
  return result.broken_rules > 0 || !result.fault.empty();
}

void Add(WaySummary& summary, const PlayResult& result) {
  ++summary.plays;
  summary.requests += result.requests;
  summary.in_time += result.in_time;
  summary.late += result.late;
  summary.refused += result.refused;
  summary.unserved += result.unserved;
  summary.mean_worth += result.worth;
  summary.mean_store_price += result.store_price;
  summary.broken_plays += IsBroken(result) ? 1 : 0;
}

/** Sets the mean of paired differences and its standard error. */
void SetGain(WaySummary& summary, const std::vector<double>& gains) {
  const auto count = static_cast<double>(gains.size());
  for (const double gain : gains) summary.mean_gain += gain / count;
  if (gains.size() < 2) return;
  double squares = 0;
  for (const double gain : gains) {
    squares += (gain - summary.mean_gain) * (gain - summary.mean_gain);
  }
  summary.gain_error = std::sqrt(squares / (count - 1) / count);
}

std::string Format(const char* format, double value) {
  char text[32];
  snprintf(text, sizeof(text), format, value);
  return text;
}

std::string FormatPlays(const ExperimentPlan& plan, const PlayStore& store) {
  std::string text = "| play |";
  std::string rule = "| --- |";
  for (const Way& way : plan.ways) {
    text += " " + way.name + " |";
    rule += " --- |";
  }
  text += "\n" + rule + "\n";
  for (const Play& play : plan.plays) {
    text += "| " + NameOf(play) + " |";
    for (const Way& way : plan.ways) {
      const auto result = store.Read(way, play);
      if (!result) {
        text += " not run |";
        continue;
      }
      text += " " + Format("%.3f", result->worth) + ": " +
              std::to_string(result->in_time) + ", " +
              std::to_string(result->late) + ", " +
              std::to_string(result->refused) + ", " +
              std::to_string(result->unserved) +
              (IsBroken(*result) ? " BROKEN" : "") + " |";
    }
    text += "\n";
  }
  return text;
}

}  // namespace

std::vector<WaySummary> Compare(const ExperimentPlan& plan,
                                const PlayStore& store) {
  std::vector<WaySummary> summaries(plan.ways.size());
  std::vector<std::vector<double>> gains(plan.ways.size());
  for (const Play& play : plan.plays) {
    const auto results = ResultsOf(plan, store, play);
    for (size_t i = 0; i < results.size(); ++i) {
      Add(summaries[i], results[i]);
      gains[i].push_back(results[i].worth - results[0].worth);
    }
  }
  for (size_t i = 0; i < summaries.size(); ++i) {
    WaySummary& summary = summaries[i];
    summary.way = plan.ways[i].name;
    if (summary.plays == 0) continue;
    summary.mean_worth /= summary.plays;
    summary.mean_store_price /= summary.plays;
    SetGain(summary, gains[i]);
  }
  return summaries;
}

std::string FormatComparison(const ExperimentPlan& plan,
                             const PlayStore& store) {
  std::string text =
      "# " + plan.name +
      "\n\nWorth: requests in time, late, refused, unserved.\n\n" +
      FormatPlays(plan, store) +
      "\n| way | plays | in time | late | refused | unserved | "
      "mean worth | gain | store's price | broken |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | "
      "--- |\n";
  for (const WaySummary& summary : Compare(plan, store)) {
    text += "| " + summary.way + " | " + std::to_string(summary.plays) + " | " +
            std::to_string(summary.in_time) + " | " +
            std::to_string(summary.late) + " | " +
            std::to_string(summary.refused) + " | " +
            std::to_string(summary.unserved) + " | " +
            Format("%.4f", summary.mean_worth) + " | " +
            Format("%+.4f", summary.mean_gain) + " ± " +
            Format("%.4f", summary.gain_error) + " | " +
            Format("%.4f", summary.mean_store_price) + " | " +
            std::to_string(summary.broken_plays) + " |\n";
  }
  return text;
}

}  // namespace sesamesaddle
