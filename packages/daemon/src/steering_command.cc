#include "daemon/steering_command.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <memory>

#include "admission/admission_options.h"
#include "core/random.h"
#include "daemon/log.h"
#include "daemon/loop_scheduler.h"
#include "platform/host_server.h"
#include "platform/json_configuration_decoder.h"
#include "platform/packet_codec.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"
#include "steering_daemon/agent_process.h"
#include "steering_daemon/balancer_process.h"
#include "steering_daemon/rate_limited_log.h"

namespace sesamesaddle {
namespace {

constexpr char kBalancerCommand[] = "flow-balancer";
constexpr char kAgentCommand[] = "flow-agent";
// The store normally responds within milliseconds; one that is 60 ms slower
// must not time out.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(600);

SignalFlags signal_flags;

void HandleSignal(int signal) {
  if (signal == SIGHUP) {
    signal_flags.reload = true;
  } else {
    signal_flags.stop = true;
  }
}

// The usual port of Prometheus exporters; also set in deploy/system.toml.
constexpr uint16_t kDefaultMetricsPort = 9464;

struct Options {
  bool balancer = false;
  std::string settings_path = kDefaultSettingsPath;
  std::string placement = "least-wait";
  std::string split = "strict";
  std::string admission;
  std::string log_level = "info";
  uint16_t metrics_port = kDefaultMetricsPort;
  bool check_only = false;
};

void AddOptions(CLI::App* app, Options& options) {
  app->add_option("--settings", options.settings_path,
                  "The platform's settings file (TOML)")
      ->envname(kSettingsPathVariable)
      ->capture_default_str();
  app->add_option("--log-level", options.log_level,
                  "debug, info, warning or error")
      ->envname("SESAMESADDLE_LOG_LEVEL")
      ->check(CLI::Validator(
          [](const std::string& level) {
            return IsLogLevel(level) ? std::string()
                                     : "is not debug, info, warning or error";
          },
          "LEVEL"))
      ->capture_default_str();
  app->add_option("--metrics-port", options.metrics_port,
                  "Port (TCP) of the metrics at the instance's address; 0: "
                  "only at the peers' port")
      ->envname("SESAMESADDLE_METRICS_PORT")
      ->capture_default_str();
  app->add_option(
         "--admission", options.admission,
         "Choices of how new flows are ordered and admitted, separated "
         "by commas; the others are the defaults")
      ->envname("SESAMESADDLE_ADMISSION")
      ->check(CLI::Validator(
          [](const std::string& choices) {
            const auto parsed = ParseAdmissionOptions(choices);
            return parsed ? std::string() : parsed.error();
          },
          "CHOICES"));
  app->add_flag("--check", options.check_only,
                "Only check the settings; exit code 0 if they are usable");
}

/** Returns an error if a setting that the role requires is missing, or "". */
std::string FindMissingSetting(const Options& options,
                               const SteeringSettings& settings) {
  if (options.balancer) return "";
  const Endpoint unset;
  if (settings.outbound == unset) return "listen.outbound is missing";
  if (settings.control == unset) return "listen.control is missing";
  if (settings.target == unset) return "app is missing";
  if (settings.service.empty()) return "service is missing";
  return "";
}

tl::expected<void, NetError> Serve(SteeringProcess& process, EventLoop& loop,
                                   const SteeringSettings& settings) {
  auto opened = process.Open();
  if (!opened) return opened;
  auto readiness = HostServer::Open(loop, settings.readiness, process);
  if (!readiness) return tl::unexpected(readiness.error());
  std::unique_ptr<HostServer> control;
  if (settings.control != Endpoint()) {
    auto server = HostServer::Open(loop, settings.control, process);
    if (!server) return tl::unexpected(server.error());
    control = std::move(*server);
  }
  process.Run();
  return {};
}

int Run(const Options& options, const SteeringSettings& settings,
        const SettingsFile& file) {
  InitializeLogging(options.log_level);
  const SteadyClock clock;
  EventLoop loop(clock);
  LoopScheduler scheduler(loop);
  SeededRandom random(SystemSeed());
  RateLimitedLog log(clock, WriteLogLine);
  StoreClient client(loop, log, settings.store, kStoreTimeout);
  MeteredStore store(client);
  const PlatformPacketCodec codec;
  const JsonConfigurationDecoder decoder;
  const SteeringDependencies parts{loop,  scheduler, random, log,         store,
                                   codec, decoder,   file,   signal_flags};
  std::unique_ptr<SteeringProcess> process;
  if (options.balancer) {
    process = std::make_unique<BalancerProcess>(
        parts, settings,
        PlacementOptions{options.placement == "hash"
                             ? PlacementKind::kHash
                             : PlacementKind::kLeastWait,
                         options.split == "overflow" ? SplitMode::kOverflow
                                                     : SplitMode::kStrict});
  } else {
    process = std::make_unique<AgentProcess>(parts, settings);
  }
  const auto result = Serve(*process, loop, settings);
  if (result) return 0;
  LOG(ERROR) << "daemon: " << result.error().message << ".";
  return 1;
}

}  // namespace

bool IsSteeringCommand(const std::vector<std::string>& arguments) {
  return arguments.size() > 1 &&
         (arguments[1] == kBalancerCommand || arguments[1] == kAgentCommand);
}

int RunSteeringCommand(const std::vector<std::string>& arguments) {
  // Precedes all slow operations: SIGHUP terminates a process without a
  // handler.
  signal(SIGHUP, HandleSignal);
  signal(SIGTERM, HandleSignal);
  signal(SIGINT, HandleSignal);
  signal(SIGPIPE, SIG_IGN);
  Options options;
  CLI::App app("Steers packet flows on the users' platform.", "sesamesaddled");
  app.require_subcommand(1);
  CLI::App* balancer = app.add_subcommand(
      kBalancerCommand, "Send clients' packets to the agents of their flows.");
  CLI::App* agent =
      app.add_subcommand(kAgentCommand, "Pass packets to and from a target.");
  AddOptions(balancer, options);
  AddOptions(agent, options);
  balancer
      ->add_option("--placement", options.placement,
                   "least-wait, or hash: the baseline to compare with")
      ->envname("SESAMESADDLE_PLACEMENT")
      ->check(CLI::IsMember({"least-wait", "hash"}))
      ->capture_default_str();
  balancer
      ->add_option("--split", options.split,
                   "Routes with several services: strict keeps to their "
                   "weights; overflow uses free slots of the others while the "
                   "picked one is saturated")
      ->envname("SESAMESADDLE_SPLIT")
      ->check(CLI::IsMember({"strict", "overflow"}))
      ->capture_default_str();
  try {
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend() - 1);
    app.parse(reversed);
  } catch (const CLI::CallForHelp&) {
    fputs(app.help("", CLI::AppFormatMode::All).c_str(), stdout);
    return 0;
  } catch (const CLI::ParseError& error) {
    fprintf(stderr, "sesamesaddled: %s\n", error.what());
    return 2;
  }
  options.balancer = balancer->parsed();
  const SettingsFile file(options.settings_path);
  auto settings = file.Read();
  std::string error_message =
      settings ? FindMissingSetting(options, *settings) : settings.error();
  if (!error_message.empty()) {
    fprintf(stderr, "sesamesaddled: %s\n", error_message.c_str());
    return 2;
  }
  if (options.check_only) {
    puts("the settings are usable");
    return 0;
  }
  settings->metrics_port = options.metrics_port;
  // The validator has refused unknown choices.
  settings->admission =
      *ParseAdmissionOptions(options.admission, settings->admission);
  return Run(options, *settings, file);
}

}  // namespace sesamesaddle
