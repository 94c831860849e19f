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
constexpr int kMaxQueue = 1000000;
constexpr int kMaxStopTimeoutMs = 3600000;
constexpr int kMaxSlowStartMs = 600000;
constexpr int kMaxRate = 10000000;
constexpr char kTokenVariable[] = "SESAMESADDLE_ADMIN_TOKEN";

/** The settings as text, before they are checked. */
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

std::string VariableOf(const std::string& flag) {
  std::string name = "SESAMESADDLE_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

/** Collects the first fault, named by flag and variable. */
class Checker {
 public:
  void Fault(const std::string& flag, const std::string& reason) {
    if (fault_) return;
    fault_ = "--" + flag + " (" + VariableOf(flag) + "): " + reason;
  }

  int64_t Address(const std::string& flag, const std::string& text,
                  const std::string& what) {
    if (text.empty()) {
      Fault(flag, "missing; give " + what);
      return 0;
    }
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      Fault(flag,
            std::string(Describe(endpoint.error())) + ", not \"" + text + "\"");
      return 0;
    }
    return endpoint->Pack();
  }

  void Range(const std::string& flag, int value, int low, int high) {
    if (value >= low && value <= high) return;
    Fault(flag, std::to_string(value) + " is not from " + std::to_string(low) +
                    " to " + std::to_string(high));
  }

  void Name(const std::string& flag, const std::string& value,
            const std::string& what) {
    if (value.empty()) {
      Fault(flag, "missing; give " + what);
      return;
    }
    const bool valid =
        value.size() <= kMaxNameBytes &&
        value.find_first_not_of(
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
            "-_.") == std::string::npos;
    if (!valid) {
      Fault(flag, "\"" + value + "\" is not a name (letters, digits, - _ .)");
    }
  }

  const std::optional<std::string>& fault() const { return fault_; }

 private:
  std::optional<std::string> fault_;
};

class SettingsReader {
 public:
  SettingsReader() : app_("A layer-4 load balancer.", "sesamesaddled") {
    app_.set_version_flag("--version",
                          std::string("sesamesaddled ") + kVersion);
    app_.require_subcommand(1);
    app_.footer(
        "Every flag can be given as an environment variable: --admin-listen as "
        "SESAMESADDLE_ADMIN_LISTEN. The token for commands comes from "
        "SESAMESADDLE_ADMIN_TOKEN or --admin-token-file.");
    balancer_ = app_.add_subcommand("balancer",
                                    "Take callers' datagrams from the fabric.");
    agent_ = app_.add_subcommand("agent", "Serve flows beside a target.");
    AddCommon(balancer_);
    AddCommon(agent_);
    AddBalancer();
    AddAgent();
  }

  tl::expected<schema::DaemonSettings, SettingsExit> Read(
      std::vector<std::string> arguments) {
    if (!arguments.empty()) arguments.erase(arguments.begin());
    std::reverse(arguments.begin(), arguments.end());  // As CLI11 wants them.
    try {
      app_.parse(arguments);
    } catch (const CLI::CallForHelp&) {
      return tl::unexpected(SettingsExit{0, Help()});
    } catch (const CLI::CallForVersion&) {
      return tl::unexpected(
          SettingsExit{0, std::string("sesamesaddled ") + kVersion + "\n"});
    } catch (const CLI::ParseError& error) {
      return tl::unexpected(SettingsExit{
          2, std::string("sesamesaddled: ") + error.what() + "\n"});
    }
    return Check();
  }

 private:
  std::string Help() const {
    if (balancer_->parsed()) return balancer_->help();
    if (agent_->parsed()) return agent_->help();
    return app_.help("", CLI::AppFormatMode::All);
  }

  template <typename T>
  static void Add(CLI::App* app, const std::string& flag, T& value,
                  const std::string& help) {
    app->add_option("--" + flag, value, help)
        ->envname(VariableOf(flag))
        ->capture_default_str();
  }

  void AddCommon(CLI::App* app) {
    Add(app, "name", raw_.name,
        "Name of this instance; a target is known by its agent's name");
    Add(app, "zone", raw_.zone, "Availability zone of this instance");
    Add(app, "listen", raw_.listen,
        "ADDRESS:PORT (UDP) for other processes of the system");
    Add(app, "admin-listen", raw_.admin_listen,
        "ADDRESS:PORT (TCP) of the administration API");
    Add(app, "platform", raw_.platform,
        "ADDRESS:PORT of the platform's key-value service");
    Add(app, "peer", raw_.peers,
        "ADDRESS:PORT of a process to start from if the platform is away; "
        "may be repeated");
    Add(app, "log-level", raw_.log_level, "debug, info, warning or error");
    Add(app, "admin-token-file", raw_.admin_token_file,
        "File with the bearer token that commands need");
    Add(app, "stop-timeout-ms", raw_.stop_timeout_ms,
        "Longest graceful shutdown, in milliseconds");
  }

  void AddBalancer() {
    Add(balancer_, "fabric-listen", raw_.fabric_listen,
        "ADDRESS:PORT (UDP) where the fabric delivers datagrams");
    Add(balancer_, "fabric", raw_.fabric,
        "ADDRESS:PORT (UDP) of the fabric, for datagrams to callers");
    Add(balancer_, "max-datagrams-per-second", raw_.max_datagrams_per_second,
        "Callers' datagrams passed on in a second; 0 sets no limit");
  }

  void AddAgent() {
    Add(agent_, "target", raw_.target, "ADDRESS:PORT (HTTP) of the target");
    Add(agent_, "slots", raw_.slots, "Requests the target runs at a time");
    Add(agent_, "queue-limit", raw_.queue_limit,
        "Requests that may wait for a slot");
    Add(agent_, "slow-start-ms", raw_.slow_start_ms,
        "Time over which a new target's share grows, in milliseconds");
  }

  tl::expected<schema::DaemonSettings, SettingsExit> Check() {
    Checker check;
    schema::DaemonSettings settings;
    CheckCommon(check, settings);
    if (settings.role == schema::Role::kBalancer) {
      CheckBalancer(check, settings);
    } else {
      CheckAgent(check, settings);
    }
    if (check.fault()) {
      return tl::unexpected(
          SettingsExit{2, "sesamesaddled: " + *check.fault() + "\n"});
    }
    return settings;
  }

  void CheckCommon(Checker& check, schema::DaemonSettings& settings) {
    settings.role =
        balancer_->parsed() ? schema::Role::kBalancer : schema::Role::kAgent;
    settings.name = raw_.name;
    settings.zone = raw_.zone;
    settings.log_level = raw_.log_level;
    settings.stop_timeout_ms = raw_.stop_timeout_ms;
    check.Name("name", raw_.name, "the instance's name");
    check.Name("zone", raw_.zone, "the availability zone");
    settings.listen = check.Address("listen", raw_.listen,
                                    "ADDRESS:PORT for other processes");
    settings.admin_listen = check.Address("admin-listen", raw_.admin_listen,
                                          "ADDRESS:PORT of the API");
    settings.platform = check.Address("platform", raw_.platform,
                                      "ADDRESS:PORT of the platform's service");
    for (const std::string& peer : raw_.peers) {
      settings.peers.push_back(check.Address("peer", peer, "ADDRESS:PORT"));
    }
    if (!IsLogLevel(raw_.log_level)) {
      check.Fault("log-level", "\"" + raw_.log_level +
                                   "\" is not debug, info, warning or error");
    }
    check.Range("stop-timeout-ms", raw_.stop_timeout_ms, 0, kMaxStopTimeoutMs);
    ReadToken(check, settings);
    if (settings.admin_token.empty() &&
        !Endpoint::Unpack(settings.admin_listen).IsLoopback()) {
      check.Fault("admin-listen",
                  "without a token the API listens on 127.0.0.0/8 only; set "
                  "SESAMESADDLE_ADMIN_TOKEN or --admin-token-file");
    }
  }

  void ReadToken(Checker& check, schema::DaemonSettings& settings) {
    const char* variable = std::getenv(kTokenVariable);
    if (variable != nullptr) settings.admin_token = variable;
    if (raw_.admin_token_file.empty()) return;
    if (variable != nullptr) {
      check.Fault("admin-token-file",
                  std::string("conflicts with ") + kTokenVariable);
      return;
    }
    std::ifstream file(raw_.admin_token_file);
    if (!(file >> settings.admin_token)) {
      check.Fault("admin-token-file", "no token can be read from \"" +
                                          raw_.admin_token_file + "\"");
    }
  }

  void CheckBalancer(Checker& check, schema::DaemonSettings& settings) {
    settings.fabric_listen =
        check.Address("fabric-listen", raw_.fabric_listen,
                      "ADDRESS:PORT where the fabric delivers datagrams");
    settings.fabric =
        check.Address("fabric", raw_.fabric, "ADDRESS:PORT of the fabric");
    if (settings.fabric_listen == settings.listen) {
      check.Fault("fabric-listen", "conflicts with --listen (" +
                                       VariableOf("listen") + "): both name " +
                                       raw_.listen);
    }
    check.Range("max-datagrams-per-second", raw_.max_datagrams_per_second, 0,
                kMaxRate);
    settings.max_datagrams_per_second = raw_.max_datagrams_per_second;
  }

  void CheckAgent(Checker& check, schema::DaemonSettings& settings) {
    settings.target =
        check.Address("target", raw_.target, "ADDRESS:PORT of the target");
    check.Range("slots", raw_.slots, 1, kMaxSlots);
    check.Range("queue-limit", raw_.queue_limit, 0, kMaxQueue);
    check.Range("slow-start-ms", raw_.slow_start_ms, 0, kMaxSlowStartMs);
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

tl::expected<schema::DaemonSettings, SettingsExit> ReadSettings(
    const std::vector<std::string>& arguments) {
  return SettingsReader().Read(arguments);
}

}  // namespace sesamesaddle
