#include "command/command.h"

#include <cctype>
#include <charconv>
#include <optional>

#include "core/endpoint.h"

namespace sesamesaddle {

const char* const kCommandHelp =
    "create service NAME address ADDRESS:PORT [priority high|normal|low]\n"
    "    [deadline TIME] [drain-grace TIME]\n"
    "change service NAME [address ADDRESS:PORT] [priority high|normal|low]\n"
    "    [deadline TIME] [drain-grace TIME]\n"
    "remove service NAME\n"
    "allow targets PATTERN [in ZONE] for SERVICE\n"
    "deny targets PATTERN [in ZONE] for SERVICE\n"
    "drain instance NAME\n"
    "restore instance NAME\n"
    "retire instance NAME\n"
    "show services|targets|balancers|flows|changes\n"
    "    [where COLUMN =|!=|<|>|~ VALUE [and ...]]\n"
    "help\n"
    "TIME is a number with ms, s or m, such as 500ms or 10s. PATTERN may hold\n"
    "* and ?. A value with blanks stands in double quotes.\n";

namespace {

struct Word {
  std::string text;
  size_t column = 1;
  bool quoted = false;
};

template <typename T>
using Result = tl::expected<T, SyntaxError>;

tl::unexpected<SyntaxError> Fail(size_t column, std::string message) {
  return tl::unexpected(SyntaxError{column, std::move(message)});
}

bool IsOperator(char c) {
  return c == '=' || c == '!' || c == '<' || c == '>' || c == '~';
}

bool IsBlank(char c) {
  return std::isspace(static_cast<unsigned char>(c)) != 0;
}

Result<std::vector<Word>> SplitWords(std::string_view text) {
  std::vector<Word> words;
  size_t i = 0;
  while (i < text.size()) {
    if (IsBlank(text[i])) {
      ++i;
      continue;
    }
    const size_t start = i;
    if (text[i] == '"') {
      const size_t end = text.find('"', i + 1);
      if (end == std::string_view::npos) {
        return Fail(start + 1, "the quote is not closed");
      }
      words.push_back(
          {std::string(text.substr(i + 1, end - i - 1)), start + 1, true});
      i = end + 1;
      continue;
    }
    const bool is_operator = IsOperator(text[i]);
    while (i < text.size() && !IsBlank(text[i]) && text[i] != '"' &&
           IsOperator(text[i]) == is_operator) {
      ++i;
    }
    words.push_back(
        {std::string(text.substr(start, i - start)), start + 1, false});
  }
  return words;
}

/** Walks over the words of one command. */
class Parser {
 public:
  Parser(std::vector<Word> words, size_t end_column)
      : words_(std::move(words)), end_column_(end_column) {}

  Result<Command> Parse() {
    const Word verb = Peek();
    if (words_.empty()) return Fail(1, "the command is empty");
    ++next_;
    Result<Command> command = ParseVerb(verb);
    if (command && next_ < words_.size()) {
      return Fail(Peek().column, "unexpected \"" + Peek().text + "\"");
    }
    return command;
  }

 private:
  Result<Command> ParseVerb(const Word& verb) {
    if (verb.text == "create") return ParseCreate();
    if (verb.text == "change") return ParseChange();
    if (verb.text == "remove") return ParseRemove();
    if (verb.text == "allow") return ParseTargets(true);
    if (verb.text == "deny") return ParseTargets(false);
    if (verb.text == "drain") {
      return ParseMode(schema::InstanceMode::kDraining);
    }
    if (verb.text == "restore") {
      return ParseMode(schema::InstanceMode::kServing);
    }
    if (verb.text == "retire") {
      return ParseMode(schema::InstanceMode::kRetired);
    }
    if (verb.text == "show") return ParseShow();
    if (verb.text == "help") return Command(HelpRequest{});
    return Fail(verb.column,
                "unknown command \"" + verb.text +
                    "\"; expected create, change, remove, allow, deny, drain, "
                    "restore, retire, show or help");
  }

  Result<Command> ParseCreate() {
    schema::CreateService create;
    return Keyword("service")
        .and_then([&] { return Take("a service name"); })
        .and_then([&](const Word& name) -> Result<void> {
          create.name = name.text;
          return ParseFields(create);
        })
        .and_then([&]() -> Result<Command> {
          if (!has_address_) return Fail(Column(), "expected address");
          schema::Change change;
          change.__set_create_service(create);
          return Command(change);
        });
  }

  Result<Command> ParseChange() {
    schema::ChangeService modify;
    return Keyword("service")
        .and_then([&] { return Take("a service name"); })
        .and_then([&](const Word& name) -> Result<void> {
          modify.name = name.text;
          if (AtEnd()) {
            return Fail(Column(),
                        "expected address, priority, deadline or drain-grace");
          }
          return ParseFields(modify);
        })
        .map([&] {
          if (has_address_) modify.__isset.address = true;
          schema::Change change;
          change.__set_change_service(modify);
          return Command(change);
        });
  }

  Result<Command> ParseRemove() {
    return Keyword("service")
        .and_then([&] { return Take("a service name"); })
        .map([](const Word& name) {
          schema::RemoveService remove;
          remove.name = name.text;
          schema::Change change;
          change.__set_remove_service(remove);
          return Command(change);
        });
  }

  Result<Command> ParseTargets(bool allow) {
    schema::TargetRule rule;
    return Keyword("targets")
        .and_then([&] { return Take("a name pattern"); })
        .and_then([&](const Word& pattern) -> Result<void> {
          rule.pattern = pattern.text;
          if (Peek().text != "in") return {};
          ++next_;
          return Take("an availability zone").map([&](const Word& zone) {
            rule.zone = zone.text;
          });
        })
        .and_then([&] { return Keyword("for"); })
        .and_then([&] { return Take("a service name"); })
        .map([&](const Word& service) {
          return Command(MakeRuleChange(allow, service.text, rule));
        });
  }

  static schema::Change MakeRuleChange(bool allow, const std::string& service,
                                       const schema::TargetRule& rule) {
    schema::Change change;
    if (allow) {
      schema::AllowTargets targets;
      targets.service_name = service;
      targets.rule = rule;
      change.__set_allow_targets(targets);
    } else {
      schema::DenyTargets targets;
      targets.service_name = service;
      targets.rule = rule;
      change.__set_deny_targets(targets);
    }
    return change;
  }

  Result<Command> ParseMode(schema::InstanceMode::type mode) {
    return Keyword("instance")
        .and_then([&] { return Take("an instance name"); })
        .map([mode](const Word& name) {
          schema::SetInstanceMode set;
          set.name = name.text;
          set.mode = mode;
          schema::Change change;
          change.__set_set_instance_mode(set);
          return Command(change);
        });
  }

  Result<Command> ParseShow() {
    Query query;
    return Take("services, targets, balancers, flows or changes")
        .and_then([&](const Word& word) -> Result<void> {
          const auto subject = ToSubject(word.text);
          if (!subject) {
            return Fail(word.column,
                        "expected services, targets, balancers, flows or "
                        "changes, not \"" +
                            word.text + "\"");
          }
          query.subject = *subject;
          if (AtEnd()) return {};
          return Keyword("where").and_then(
              [&] { return ParseConditions(query); });
        })
        .map([&] { return Command(query); });
  }

  Result<void> ParseConditions(Query& query) {
    while (true) {
      Condition condition;
      auto parsed =
          Take("a column")
              .and_then([&](const Word& column) {
                condition.column = column.text;
                return Take("=, !=, <, > or ~");
              })
              .and_then([&](const Word& word) -> Result<Word> {
                const auto comparison = ToComparison(word.text);
                if (!comparison) {
                  return Fail(word.column, "expected =, !=, <, > or ~");
                }
                condition.comparison = *comparison;
                return Take("a value");
              })
              .map([&](const Word& value) { condition.value = value.text; });
      if (!parsed) return tl::unexpected(parsed.error());
      query.conditions.push_back(condition);
      if (AtEnd()) return {};
      if (auto more = Keyword("and"); !more) return more;
    }
  }

  template <typename Fields>
  Result<void> ParseFields(Fields& fields) {
    while (!AtEnd()) {
      const Word name = Peek();
      ++next_;
      Result<void> field = ParseField(name, fields);
      if (!field) return field;
    }
    return {};
  }

  template <typename Fields>
  Result<void> ParseField(const Word& name, Fields& fields) {
    if (name.text == "address") {
      has_address_ = true;
      return TakeEndpoint().map(
          [&](Endpoint address) { fields.address = address.Pack(); });
    }
    if (name.text == "priority") {
      return TakePriority().map([&](schema::Priority::type priority) {
        fields.__set_priority(priority);
      });
    }
    if (name.text == "deadline") {
      return TakeTime().map([&](int ms) { fields.__set_deadline_ms(ms); });
    }
    if (name.text == "drain-grace") {
      return TakeTime().map([&](int ms) { fields.__set_drain_grace_ms(ms); });
    }
    return Fail(name.column, "unknown setting \"" + name.text +
                                 "\"; expected address, priority, deadline or "
                                 "drain-grace");
  }

  Result<Endpoint> TakeEndpoint() {
    return Take("ADDRESS:PORT").and_then([](const Word& word) {
      return Endpoint::Parse(word.text).map_error([&](EndpointError error) {
        return SyntaxError{word.column, std::string(Describe(error))};
      });
    });
  }

  Result<schema::Priority::type> TakePriority() {
    return Take("high, normal or low")
        .and_then([](const Word& word) -> Result<schema::Priority::type> {
          if (word.text == "high") return schema::Priority::kHigh;
          if (word.text == "normal") return schema::Priority::kNormal;
          if (word.text == "low") return schema::Priority::kLow;
          return Fail(word.column, "expected high, normal or low");
        });
  }

  Result<int> TakeTime() {
    return Take("a time such as 500ms or 10s")
        .and_then([](const Word& word) -> Result<int> {
          constexpr int kMsPerSecond = 1000;
          constexpr int kMsPerMinute = 60000;
          constexpr int kMaxNumber = 100000;
          int number = 0;
          const char* end = word.text.data() + word.text.size();
          const auto [stop, error] =
              std::from_chars(word.text.data(), end, number);
          const std::string unit(stop, end);
          const bool valid =
              error == std::errc() && number >= 0 && number <= kMaxNumber;
          if (valid && unit == "ms") return number;
          if (valid && unit == "s") return number * kMsPerSecond;
          if (valid && unit == "m" && number <= kMsPerMinute / 2) {
            return number * kMsPerMinute;
          }
          return Fail(word.column, "expected a time such as 500ms, 10s or 2m");
        });
  }

  static std::optional<Subject> ToSubject(const std::string& text) {
    if (text == "services") return Subject::kServices;
    if (text == "targets") return Subject::kTargets;
    if (text == "balancers") return Subject::kBalancers;
    if (text == "flows") return Subject::kFlows;
    if (text == "changes") return Subject::kChanges;
    return {};
  }

  static std::optional<Comparison> ToComparison(const std::string& text) {
    if (text == "=") return Comparison::kEqual;
    if (text == "!=") return Comparison::kNotEqual;
    if (text == "<") return Comparison::kLess;
    if (text == ">") return Comparison::kGreater;
    if (text == "~") return Comparison::kMatches;
    return {};
  }

  Result<void> Keyword(const std::string& keyword) {
    if (Peek().text != keyword || Peek().quoted) {
      return Fail(Column(), "expected " + keyword);
    }
    ++next_;
    return {};
  }

  Result<Word> Take(const std::string& what) {
    if (AtEnd()) return Fail(Column(), "expected " + what);
    return words_[next_++];
  }

  Word Peek() const { return AtEnd() ? Word{} : words_[next_]; }
  bool AtEnd() const { return next_ >= words_.size(); }
  size_t Column() const { return AtEnd() ? end_column_ : words_[next_].column; }

  std::vector<Word> words_;
  size_t end_column_;
  size_t next_ = 0;
  bool has_address_ = false;
};

}  // namespace

tl::expected<Command, SyntaxError> ParseCommand(std::string_view text) {
  return SplitWords(text).and_then([text](const std::vector<Word>& words) {
    return Parser(words, text.size() + 1).Parse();
  });
}

}  // namespace sesamesaddle
