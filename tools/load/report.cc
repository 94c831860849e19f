#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace sesamesaddle {
namespace {

std::string Number(double value) {
  char text[32];
  snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

}  // namespace

double Percentile(std::vector<double> values, double percent) {
  if (values.empty()) return 0;
  const auto rank = static_cast<size_t>(
      std::ceil(percent / 100 * static_cast<double>(values.size())));
  const size_t index = std::min(values.size() - 1, rank == 0 ? 0 : rank - 1);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void Report::CompareWithTargets() {
  for (const auto& [id, count] : runs) {
    if (count <= 1) continue;
    ++duplicate_runs;
    const auto order = orders.find(id);
    fprintf(stderr, "load: order %lld ran %lld times, its caller was told %d\n",
            static_cast<long long>(id),     // NOLINT
            static_cast<long long>(count),  // NOLINT
            order == orders.end() ? -1 : static_cast<int>(order->second));
  }
  for (const auto& [id, end] : orders) {
    const bool ran = runs.count(id) != 0;
    if (end == OrderOutcome::kAnswered && !ran) ++lost_orders;
    if (end == OrderOutcome::kNotRun && ran) ++false_refusals;
  }
  std::map<std::string, std::vector<double>> work;
  for (const TargetStats& target : targets) {
    wrong_service += target.wrong_service;
    work[target.service].push_back(static_cast<double>(target.completed) /
                                   static_cast<double>(target.slots));
  }
  for (const auto& [service, shares] : work) {
    double sum = 0;
    for (const double share : shares) sum += share;
    if (sum == 0) continue;
    const double mean = sum / static_cast<double>(shares.size());
    const double most = *std::max_element(shares.begin(), shares.end());
    imbalance = std::max(imbalance, most / mean);
  }
}

bool Report::Passed() const {
  return requests > 0 && answered > 0 && broken_flows == 0 &&
         duplicate_runs == 0 && wrong_service == 0 && wrong_answers == 0 &&
         incomplete == 0 && lost_orders == 0 && false_refusals == 0 &&
         unanswered == 0 && feed_regressions == 0;
}

std::string Report::SummaryLine() const {
  std::ostringstream line;
  line << "requests=" << requests << " answered=" << answered
       << " refused=" << refused << " broken_flows=" << broken_flows
       << " duplicate_runs=" << duplicate_runs
       << " wrong_service=" << wrong_service
       << " imbalance=" << Number(imbalance)
       << " p50_ms=" << Number(Percentile(latencies_ms, 50))
       << " p99_ms=" << Number(Percentile(latencies_ms, 99));
  return line.str();
}

std::string Report::Json() const {
  std::ostringstream json;
  json << "{\"requests\":" << requests << ",\"answered\":" << answered
       << ",\"refused\":" << refused << ",\"unknown\":" << unknown
       << ",\"errors\":" << errors << ",\"unanswered\":" << unanswered
       << ",\"skipped\":" << skipped << ",\"wrong_answers\":" << wrong_answers
       << ",\"wrong_service\":" << wrong_service
       << ",\"incomplete\":" << incomplete << ",\"pieces\":" << pieces
       << ",\"notifications\":" << notifications
       << ",\"feed_regressions\":" << feed_regressions
       << ",\"feed_restarts\":" << feed_restarts
       << ",\"longest_feed_gap_ms\":" << Number(longest_feed_gap_ms)
       << ",\"broken_flows\":" << broken_flows << ",\"broken_reasons\":{";
  const char* separator = "";
  for (const auto& [reason, count] : broken_reasons) {
    json << separator << "\"" << reason << "\":" << count;
    separator = ",";
  }
  json << "},\"duplicate_runs\":" << duplicate_runs
       << ",\"lost_orders\":" << lost_orders
       << ",\"false_refusals\":" << false_refusals
       << ",\"imbalance\":" << Number(imbalance)
       << ",\"p50_ms\":" << Number(Percentile(latencies_ms, 50))
       << ",\"p99_ms\":" << Number(Percentile(latencies_ms, 99));
  for (const auto& [service, latencies] : latencies_by_service) {
    json << ",\"" << service
         << "_p50_ms\":" << Number(Percentile(latencies, 50)) << ",\""
         << service << "_p99_ms\":" << Number(Percentile(latencies, 99));
  }
  json << ",\"targets\":[";
  separator = "";
  for (const TargetStats& target : targets) {
    json << separator << "{\"name\":\"" << target.name << "\",\"service\":\""
         << target.service << "\",\"completed\":" << target.completed
         << ",\"over_slots\":" << target.over_slots << "}";
    separator = ",";
  }
  json << "]}";
  return json.str();
}

}  // namespace sesamesaddle
