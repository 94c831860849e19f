#include "daemon/settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <set>

#include "configuration/change_rules.h"
#include "core/endpoint.h"
#include "daemon/log.h"

namespace sesamesaddle {

const char* const kVersion = "0.1.0";

namespace {

constexpr int kMaxSlots = 10000;
constexpr int kMaxQueueLimit = 1000000;
constexpr int kMaxStopTimeoutMs = 3600000;
constexpr int kMaxSlowStartMs = 600000;
constexpr int kMaxDatagramsPerSecond = 10000000;
constexpr char kTokenEnvironmentVariable[] = "SESAMESADDLE_ADMIN_TOKEN";

/** The settings before validation. */
struct RawSettings {
  std::string name;
  std::string zone;
  std::string listen;
  std::string admin_listen;
  std::string platform;
  std::string log_level = "info";
  std::string admin_token_file;
  std::string fabric_listen;
  std::string fabric;
  std::string target;
  std::vector<std::string> peers;
  int stop_timeout_ms = 15000;
  int slots = 1;
  int queue_limit = 64;
  int slow_start_ms = 10000;
  int max_datagrams_per_second = 0;
};

std::string EnvironmentVariable(const std::string& flag) {
  std::string name = "SESAMESADDLE_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

/** Validates settings and keeps the first error. */
class SettingsValidator {
 public:
  void Fail(const std::string& flag, const std::string& reason) {
    if (error_) return;
    error_ = "--" + flag + " (" + EnvironmentVariable(flag) + "): " + reason;
  }

  int64_t ParseAddress(const std::string& flag, const std::string& text,
                       const std::string& expected) {
    if (text.empty()) {
      Fail(flag, "missing; expected " + expected);
      return 0;
    }
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      Fail(flag,
           std::string(Describe(endpoint.error())) + ", not \"" + text + "\"");
      return 0;
    }
    return endpoint->Pack();
  }

  void CheckRange(const std::string& flag, int value, int low, int high) {
    if (value >= low && value <= high) return;
    Fail(flag, std::to_string(value) + " is not in the range " +
                   std::to_string(low) + " to " + std::to_string(high));
  }

  void CheckName(const std::string& flag, const std::string& value,
                 const std::string& expected) {
    if (value.empty()) {
      Fail(flag, "missing; expected " + expected);
      return;
    }
    const bool valid =
        value.size() <= kMaxNameBytes &&
        value.find_first_not_of(
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
            "-_.") == std::string::npos;
    if (!valid) {
      Fail(flag, "\"" + value +
                     "\" is not a valid name (use letters, digits, - _ .)");
    }
  }

  const std::optional<std::string>& error() const { return error_; }

 private:
  std::optional<std::string> error_;
};

class SettingsParser {
 public:
  SettingsParser() : app_("A layer-4 load balancer.", "sesamesaddled") {
    app_.set_version_flag("--version",
                          std::string("sesamesaddled ") + kVersion);
    app_.require_subcommand(1);
    app_.footer(
        "Every flag can be given as an environment variable: --admin-listen as "
        "SESAMESADDLE_ADMIN_LISTEN. The token for commands comes from "
        "SESAMESADDLE_ADMIN_TOKEN or --admin-token-file.");
    balancer_ = app_.add_subcommand("balancer",
                                    "Take callers' datagrams from the fabric.");
    agent_ = app_.add_subcommand("agent", "Serve the flows of a local target.");
    AddCommonOptions(balancer_);
    AddCommonOptions(agent_);
    AddBalancerOptions();
    AddAgentOptions();
  }

  tl::expected<schema::DaemonSettings, EarlyExit> Parse(
      std::vector<std::string> arguments) {
    if (!arguments.empty()) arguments.erase(arguments.begin());
    // CLI11 expects the arguments in reverse order.
    std::reverse(arguments.begin(), arguments.end());
    try {
      app_.parse(arguments);
    } catch (const CLI::CallForHelp&) {
      return tl::unexpected(EarlyExit{0, Help()});
    } catch (const CLI::CallForVersion&) {
      return tl::unexpected(
          EarlyExit{0, std::string("sesamesaddled ") + kVersion + "\n"});
    } catch (const CLI::ParseError& error) {
      return tl::unexpected(
          EarlyExit{2, std::string("sesamesaddled: ") + error.what() + "\n"});
    }
    return Validate();
  }

 private:
  std::string Help() const {
    if (balancer_->parsed()) return balancer_->help();
    if (agent_->parsed()) return agent_->help();
    return app_.help("", CLI::AppFormatMode::All);
  }

  template <typename T>
  static void AddOption(CLI::App* app, const std::string& flag, T& value,
                        const std::string& help) {
    app->add_option("--" + flag, value, help)
        ->envname(EnvironmentVariable(flag))
        ->capture_default_str();
  }

  void AddCommonOptions(CLI::App* app) {
    AddOption(
        app, "name", raw_.name,
        "Name of this instance; a target is identified by its agent's name");
    AddOption(app, "zone", raw_.zone, "Availability zone of this instance");
    AddOption(app, "listen", raw_.listen,
              "ADDRESS:PORT (UDP) for other processes of the system");
    AddOption(app, "admin-listen", raw_.admin_listen,
              "ADDRESS:PORT (TCP) of the administration API");
    AddOption(app, "platform", raw_.platform,
              "ADDRESS:PORT of the platform's key-value service");
    AddOption(
        app, "peer", raw_.peers,
        "ADDRESS:PORT of a gossip seed to use if the platform is unavailable; "
        "may be repeated");
    AddOption(app, "log-level", raw_.log_level,
              "debug, info, warning or error");
    AddOption(app, "admin-token-file", raw_.admin_token_file,
              "File with the bearer token that commands require");
    AddOption(app, "stop-timeout-ms", raw_.stop_timeout_ms,
              "Maximum duration of a graceful shutdown, in milliseconds");
  }

  void AddBalancerOptions() {
    AddOption(balancer_, "fabric-listen", raw_.fabric_listen,
              "ADDRESS:PORT (UDP) where the fabric delivers datagrams");
    AddOption(balancer_, "fabric", raw_.fabric,
              "ADDRESS:PORT (UDP) of the fabric, for datagrams to callers");
    AddOption(balancer_, "max-datagrams-per-second",
              raw_.max_datagrams_per_second,
              "Callers' datagrams forwarded per second; 0 sets no limit");
  }

  void AddAgentOptions() {
    AddOption(agent_, "target", raw_.target,
              "ADDRESS:PORT (HTTP) of the target");
    AddOption(agent_, "slots", raw_.slots,
              "Requests the target runs concurrently");
    AddOption(agent_, "queue-limit", raw_.queue_limit,
              "Requests that may wait for a slot");
    AddOption(agent_, "slow-start-ms", raw_.slow_start_ms,
              "Duration of a new target's slow start, in milliseconds");
  }

  tl::expected<schema::DaemonSettings, EarlyExit> Validate() {
    SettingsValidator validator;
    schema::DaemonSettings settings;
    ValidateCommon(validator, settings);
    if (settings.role == schema::Role::kBalancer) {
      ValidateBalancer(validator, settings);
    } else {
      ValidateAgent(validator, settings);
    }
    if (validator.error()) {
      return tl::unexpected(
          EarlyExit{2, "sesamesaddled: " + *validator.error() + "\n"});
    }
    return settings;
  }

  void ValidateCommon(SettingsValidator& validator,
                      schema::DaemonSettings& settings) {
    settings.role =
        balancer_->parsed() ? schema::Role::kBalancer : schema::Role::kAgent;
    settings.name = raw_.name;
    settings.zone = raw_.zone;
    settings.log_level = raw_.log_level;
    settings.stop_timeout_ms = raw_.stop_timeout_ms;
    validator.CheckName("name", raw_.name, "the instance's name");
    validator.CheckName("zone", raw_.zone, "the availability zone");
    settings.listen = validator.ParseAddress(
        "listen", raw_.listen, "ADDRESS:PORT for other processes");
    settings.admin_listen = validator.ParseAddress(
        "admin-listen", raw_.admin_listen, "ADDRESS:PORT of the API");
    settings.platform = validator.ParseAddress(
        "platform", raw_.platform, "ADDRESS:PORT of the platform's service");
    for (const std::string& peer : raw_.peers) {
      settings.peers.push_back(
          validator.ParseAddress("peer", peer, "ADDRESS:PORT"));
    }
    if (!IsLogLevel(raw_.log_level)) {
      validator.Fail(
          "log-level",
          "\"" + raw_.log_level + "\" is not debug, info, warning or error");
    }
    validator.CheckRange("stop-timeout-ms", raw_.stop_timeout_ms, 0,
                         kMaxStopTimeoutMs);
    ReadToken(validator, settings);
    if (settings.admin_token.empty() &&
        !Endpoint::Unpack(settings.admin_listen).IsLoopback()) {
      validator.Fail("admin-listen",
                     "without a token the API listens on 127.0.0.0/8 only; set "
                     "SESAMESADDLE_ADMIN_TOKEN or --admin-token-file");
    }
  }

  void ReadToken(SettingsValidator& validator,
                 schema::DaemonSettings& settings) {
    const char* variable = std::getenv(kTokenEnvironmentVariable);
    if (variable != nullptr) settings.admin_token = variable;
    if (raw_.admin_token_file.empty()) return;
    if (variable != nullptr) {
      validator.Fail("admin-token-file", std::string("conflicts with ") +
                                             kTokenEnvironmentVariable);
      return;
    }
    std::ifstream file(raw_.admin_token_file);
    if (!(file >> settings.admin_token)) {
      validator.Fail("admin-token-file", "no token can be read from \"" +
                                             raw_.admin_token_file + "\"");
    }
  }

  void ValidateBalancer(SettingsValidator& validator,
                        schema::DaemonSettings& settings) {
    settings.fabric_listen = validator.ParseAddress(
        "fabric-listen", raw_.fabric_listen,
        "ADDRESS:PORT where the fabric delivers datagrams");
    settings.fabric = validator.ParseAddress("fabric", raw_.fabric,
                                             "ADDRESS:PORT of the fabric");
    if (settings.fabric_listen == settings.listen) {
      validator.Fail("fabric-listen", "conflicts with --listen (" +
                                          EnvironmentVariable("listen") +
                                          "): both name " + raw_.listen);
    }
    validator.CheckRange("max-datagrams-per-second",
                         raw_.max_datagrams_per_second, 0,
                         kMaxDatagramsPerSecond);
    settings.max_datagrams_per_second = raw_.max_datagrams_per_second;
  }

  void ValidateAgent(SettingsValidator& validator,
                     schema::DaemonSettings& settings) {
    settings.target = validator.ParseAddress("target", raw_.target,
                                             "ADDRESS:PORT of the target");
    validator.CheckRange("slots", raw_.slots, 1, kMaxSlots);
    validator.CheckRange("queue-limit", raw_.queue_limit, 0, kMaxQueueLimit);
    validator.CheckRange("slow-start-ms", raw_.slow_start_ms, 0,
                         kMaxSlowStartMs);
    settings.slots = raw_.slots;
    settings.queue_limit = raw_.queue_limit;
    settings.slow_start_ms = raw_.slow_start_ms;
  }

  CLI::App app_;
  CLI::App* balancer_ = nullptr;
  CLI::App* agent_ = nullptr;
  RawSettings raw_;
};

}  // namespace

tl::expected<schema::DaemonSettings, EarlyExit> ReadSettings(
    const std::vector<std::string>& arguments) {
  return SettingsParser().Parse(arguments);
}

}  // namespace sesamesaddle
