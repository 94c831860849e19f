#include "command/table.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "configuration/change_rules.h"

namespace sesamesaddle {
namespace {

std::optional<double> ToNumber(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return {};
  return value;
}

int Compare(const std::string& a, const std::string& b) {
  const auto x = ToNumber(a);
  const auto y = ToNumber(b);
  if (x && y) return *x < *y ? -1 : static_cast<int>(*x > *y);
  return a.compare(b);
}

bool MeetsCondition(const Condition& condition, const std::string& cell) {
  switch (condition.comparison) {
    case Comparison::kEqual:
      return Compare(cell, condition.value) == 0;
    case Comparison::kNotEqual:
      return Compare(cell, condition.value) != 0;
    case Comparison::kLess:
      return Compare(cell, condition.value) < 0;
    case Comparison::kGreater:
      return Compare(cell, condition.value) > 0;
    case Comparison::kMatches:
      return MatchesPattern(condition.value, cell);
  }
  return false;
}

std::string PadRight(const std::string& text, size_t width) {
  return text + std::string(width - text.size(), ' ');
}

std::string FormatRow(const std::vector<std::string>& cells,
                      const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    const bool last = i + 1 == cells.size();
    line += last ? cells[i] : PadRight(cells[i], widths[i]) + "  ";
  }
  return line + "\n";
}

}  // namespace

tl::expected<schema::Table, std::string> FilterTable(
    const schema::Table& table, const std::vector<Condition>& conditions) {
  schema::Table result = table;
  for (const Condition& condition : conditions) {
    const auto column =
        std::find(table.columns.begin(), table.columns.end(), condition.column);
    if (column == table.columns.end()) {
      std::string names;
      for (const std::string& name : table.columns) names += " " + name;
      return tl::unexpected("there is no column " + condition.column +
                            "; the columns are:" + names);
    }
    const auto index =
        static_cast<size_t>(std::distance(table.columns.begin(), column));
    auto& rows = result.rows;
    rows.erase(std::remove_if(rows.begin(), rows.end(),
                              [&](const schema::Row& row) {
                                return !MeetsCondition(condition,
                                                       row.cells[index]);
                              }),
               rows.end());
  }
  return result;
}

std::string FormatTable(const schema::Table& table) {
  std::vector<size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const schema::Row& row : table.rows) {
    for (size_t i = 0; i < row.cells.size(); ++i) {
      widths[i] = std::max(widths[i], row.cells[i].size());
    }
  }
  std::string text = FormatRow(table.columns, widths);
  for (const schema::Row& row : table.rows) {
    text += FormatRow(row.cells, widths);
  }
  const size_t count = table.rows.size();
  return text + "(" + std::to_string(count) +
         (count == 1 ? " row)" : " rows)") + "\n";
}

}  // namespace sesamesaddle
