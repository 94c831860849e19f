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
    "evacuate zone NAME\n"
    "restore zone NAME\n"
    "show services|targets|balancers|flows|changes|zones|load\n"
    "    [where COLUMN =|!=|<|>|~ VALUE [and ...]]\n"
    "help\n"
    "TIME is a number with ms, s or m, such as 500ms or 10s. PATTERN may hold\n"
    "* and ?. A value with blanks stands in double quotes.\n";

namespace {

constexpr char kSubjects[] =
    "services, targets, balancers, flows, changes, zones or load";

struct Token {
  std::string text;
  size_t column = 1;
  bool quoted = false;
};

template <typename T>
using Result = tl::expected<T, SyntaxError>;

tl::unexpected<SyntaxError> MakeError(size_t column, std::string message) {
  return tl::unexpected(SyntaxError{column, std::move(message)});
}

bool IsOperator(char c) {
  return c == '=' || c == '!' || c == '<' || c == '>' || c == '~';
}

bool IsBlank(char c) {
  return std::isspace(static_cast<unsigned char>(c)) != 0;
}

Result<std::vector<Token>> Tokenize(std::string_view text) {
  std::vector<Token> tokens;
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
        return MakeError(start + 1, "the quote is not closed");
      }
      tokens.push_back(
          {std::string(text.substr(i + 1, end - i - 1)), start + 1, true});
      i = end + 1;
      continue;
    }
    const bool is_operator = IsOperator(text[i]);
    while (i < text.size() && !IsBlank(text[i]) && text[i] != '"' &&
           IsOperator(text[i]) == is_operator) {
      ++i;
    }
    tokens.push_back(
        {std::string(text.substr(start, i - start)), start + 1, false});
  }
  return tokens;
}

/** Recursive descent parser for the tokens of one command. */
class Parser {
 public:
  Parser(std::vector<Token> tokens, size_t end_column)
      : tokens_(std::move(tokens)), end_column_(end_column) {}

  Result<Command> Parse() {
    const Token verb = Peek();
    if (tokens_.empty()) return MakeError(1, "the command is empty");
    ++next_;
    Result<Command> command = ParseVerb(verb);
    if (command && next_ < tokens_.size()) {
      return MakeError(Peek().column, "unexpected \"" + Peek().text + "\"");
    }
    return command;
  }

 private:
  Result<Command> ParseVerb(const Token& verb) {
    if (verb.text == "create") return ParseCreate();
    if (verb.text == "change") return ParseChange();
    if (verb.text == "remove") return ParseRemove();
    if (verb.text == "allow") return ParseTargetRule(true);
    if (verb.text == "deny") return ParseTargetRule(false);
    if (verb.text == "drain") {
      return ParseInstanceMode(schema::InstanceMode::kDraining);
    }
    if (verb.text == "restore") return ParseRestore();
    if (verb.text == "evacuate") return ParseZoneMode(true);
    if (verb.text == "retire") {
      return ParseInstanceMode(schema::InstanceMode::kRetired);
    }
    if (verb.text == "show") return ParseShow();
    if (verb.text == "help") return Command(HelpRequest{});
    return MakeError(
        verb.column,
        "unknown command \"" + verb.text +
            "\"; expected create, change, remove, allow, deny, drain, "
            "restore, retire, evacuate, show or help");
  }

  Result<Command> ParseCreate() {
    schema::CreateService create;
    return ExpectKeyword("service")
        .and_then([&] { return NextToken("a service name"); })
        .and_then([&](const Token& name) -> Result<void> {
          create.name = name.text;
          return ParseFields(create);
        })
        .and_then([&]() -> Result<Command> {
          if (!has_address_) {
            return MakeError(CurrentColumn(), "expected address");
          }
          schema::Change change;
          change.__set_create_service(create);
          return Command(change);
        });
  }

  Result<Command> ParseChange() {
    schema::ChangeService change_service;
    return ExpectKeyword("service")
        .and_then([&] { return NextToken("a service name"); })
        .and_then([&](const Token& name) -> Result<void> {
          change_service.name = name.text;
          if (AtEnd()) {
            return MakeError(
                CurrentColumn(),
                "expected address, priority, deadline or drain-grace");
          }
          return ParseFields(change_service);
        })
        .map([&] {
          if (has_address_) change_service.__isset.address = true;
          schema::Change change;
          change.__set_change_service(change_service);
          return Command(change);
        });
  }

  Result<Command> ParseRemove() {
    return ExpectKeyword("service")
        .and_then([&] { return NextToken("a service name"); })
        .map([](const Token& name) {
          schema::RemoveService remove;
          remove.name = name.text;
          schema::Change change;
          change.__set_remove_service(remove);
          return Command(change);
        });
  }

  Result<Command> ParseTargetRule(bool allow) {
    schema::TargetRule rule;
    return ExpectKeyword("targets")
        .and_then([&] { return NextToken("a name pattern"); })
        .and_then([&](const Token& pattern) -> Result<void> {
          rule.pattern = pattern.text;
          if (Peek().text != "in") return {};
          ++next_;
          return NextToken("an availability zone").map([&](const Token& zone) {
            rule.zone = zone.text;
          });
        })
        .and_then([&] { return ExpectKeyword("for"); })
        .and_then([&] { return NextToken("a service name"); })
        .map([&](const Token& service) {
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

  Result<Command> ParseInstanceMode(schema::InstanceMode::type mode) {
    return ExpectKeyword("instance")
        .and_then([&] { return NextToken("an instance name"); })
        .map([mode](const Token& name) {
          schema::SetInstanceMode set;
          set.name = name.text;
          set.mode = mode;
          schema::Change change;
          change.__set_set_instance_mode(set);
          return Command(change);
        });
  }

  Result<Command> ParseRestore() {
    if (Peek().text == "zone" && !Peek().quoted) return ParseZoneMode(false);
    if (Peek().text != "instance" || Peek().quoted) {
      return MakeError(CurrentColumn(), "expected instance or zone");
    }
    return ParseInstanceMode(schema::InstanceMode::kServing);
  }

  Result<Command> ParseZoneMode(bool evacuated) {
    return ExpectKeyword("zone")
        .and_then([&] { return NextToken("an availability zone"); })
        .map([evacuated](const Token& zone) {
          schema::SetZoneMode set;
          set.zone = zone.text;
          set.evacuated = evacuated;
          schema::Change change;
          change.__set_set_zone_mode(set);
          return Command(change);
        });
  }

  Result<Command> ParseShow() {
    Query query;
    return NextToken(kSubjects)
        .and_then([&](const Token& token) -> Result<void> {
          const auto subject = ParseSubject(token.text);
          if (!subject) {
            return MakeError(token.column, std::string("expected ") +
                                               kSubjects + ", not \"" +
                                               token.text + "\"");
          }
          query.subject = *subject;
          if (AtEnd()) return {};
          return ExpectKeyword("where").and_then(
              [&] { return ParseConditions(query); });
        })
        .map([&] { return Command(query); });
  }

  Result<void> ParseConditions(Query& query) {
    while (true) {
      Condition condition;
      auto parsed =
          NextToken("a column")
              .and_then([&](const Token& column) {
                condition.column = column.text;
                return NextToken("=, !=, <, > or ~");
              })
              .and_then([&](const Token& token) -> Result<Token> {
                const auto comparison = ParseComparison(token.text);
                if (!comparison) {
                  return MakeError(token.column, "expected =, !=, <, > or ~");
                }
                condition.comparison = *comparison;
                return NextToken("a value");
              })
              .map([&](const Token& value) { condition.value = value.text; });
      if (!parsed) return tl::unexpected(parsed.error());
      query.conditions.push_back(condition);
      if (AtEnd()) return {};
      if (auto more = ExpectKeyword("and"); !more) return more;
    }
  }

  template <typename Fields>
  Result<void> ParseFields(Fields& fields) {
    while (!AtEnd()) {
      const Token name = Peek();
      ++next_;
      Result<void> field = ParseField(name, fields);
      if (!field) return field;
    }
    return {};
  }

  template <typename Fields>
  Result<void> ParseField(const Token& name, Fields& fields) {
    if (name.text == "address") {
      has_address_ = true;
      return ParseEndpoint().map(
          [&](Endpoint address) { fields.address = address.Pack(); });
    }
    if (name.text == "priority") {
      return ParsePriority().map([&](schema::Priority::type priority) {
        fields.__set_priority(priority);
      });
    }
    if (name.text == "deadline") {
      return ParseDuration().map([&](int ms) { fields.__set_deadline_ms(ms); });
    }
    if (name.text == "drain-grace") {
      return ParseDuration().map(
          [&](int ms) { fields.__set_drain_grace_ms(ms); });
    }
    return MakeError(name.column,
                     "unknown setting \"" + name.text +
                         "\"; expected address, priority, deadline or "
                         "drain-grace");
  }

  Result<Endpoint> ParseEndpoint() {
    return NextToken("ADDRESS:PORT").and_then([](const Token& token) {
      return Endpoint::Parse(token.text).map_error([&](EndpointError error) {
        return SyntaxError{token.column, std::string(Describe(error))};
      });
    });
  }

  Result<schema::Priority::type> ParsePriority() {
    return NextToken("high, normal or low")
        .and_then([](const Token& token) -> Result<schema::Priority::type> {
          if (token.text == "high") return schema::Priority::kHigh;
          if (token.text == "normal") return schema::Priority::kNormal;
          if (token.text == "low") return schema::Priority::kLow;
          return MakeError(token.column, "expected high, normal or low");
        });
  }

  Result<int> ParseDuration() {
    return NextToken("a time such as 500ms or 10s")
        .and_then([](const Token& token) -> Result<int> {
          constexpr int kMsPerSecond = 1000;
          constexpr int kMsPerMinute = 60000;
          constexpr int kMaxNumber = 100000;
          int number = 0;
          const char* end = token.text.data() + token.text.size();
          const auto [stop, error] =
              std::from_chars(token.text.data(), end, number);
          const std::string unit(stop, end);
          const bool valid =
              error == std::errc() && number >= 0 && number <= kMaxNumber;
          if (valid && unit == "ms") return number;
          if (valid && unit == "s") return number * kMsPerSecond;
          if (valid && unit == "m" && number <= kMsPerMinute / 2) {
            return number * kMsPerMinute;
          }
          return MakeError(token.column,
                           "expected a time such as 500ms, 10s or 2m");
        });
  }

  static std::optional<Subject> ParseSubject(const std::string& text) {
    if (text == "services") return Subject::kServices;
    if (text == "targets") return Subject::kTargets;
    if (text == "balancers") return Subject::kBalancers;
    if (text == "flows") return Subject::kFlows;
    if (text == "changes") return Subject::kChanges;
    if (text == "zones") return Subject::kZones;
    if (text == "load") return Subject::kLoad;
    return {};
  }

  static std::optional<Comparison> ParseComparison(const std::string& text) {
    if (text == "=") return Comparison::kEqual;
    if (text == "!=") return Comparison::kNotEqual;
    if (text == "<") return Comparison::kLess;
    if (text == ">") return Comparison::kGreater;
    if (text == "~") return Comparison::kMatches;
    return {};
  }

  Result<void> ExpectKeyword(const std::string& keyword) {
    if (Peek().text != keyword || Peek().quoted) {
      return MakeError(CurrentColumn(), "expected " + keyword);
    }
    ++next_;
    return {};
  }

  Result<Token> NextToken(const std::string& expected) {
    if (AtEnd()) return MakeError(CurrentColumn(), "expected " + expected);
    return tokens_[next_++];
  }

  Token Peek() const { return AtEnd() ? Token{} : tokens_[next_]; }
  bool AtEnd() const { return next_ >= tokens_.size(); }
  size_t CurrentColumn() const {
    return AtEnd() ? end_column_ : tokens_[next_].column;
  }

  std::vector<Token> tokens_;
  size_t end_column_;
  size_t next_ = 0;
  bool has_address_ = false;
};

}  // namespace

tl::expected<Command, SyntaxError> ParseCommand(std::string_view text) {
  return Tokenize(text).and_then([text](const std::vector<Token>& tokens) {
    return Parser(tokens, text.size() + 1).Parse();
  });
}

}  // namespace sesamesaddle
