// sesamesaddled: a balancer or an agent, for CoAP or for packet flows, selected
// by the first argument.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "daemon/settings.h"
#include "daemon/steering_command.h"
#include "net/event_loop.h"

namespace {

std::atomic<bool> stop_requested{false};

void RequestStop(int /*signal*/) { stop_requested = true; }

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  if (sesamesaddle::IsSteeringCommand(arguments)) {
    return sesamesaddle::RunSteeringCommand(arguments);
  }
  const auto settings = sesamesaddle::ReadSettings(arguments);
  if (!settings) {
    const auto& exit = settings.error();
    fputs(exit.text.c_str(), exit.code == 0 ? stdout : stderr);
    return exit.code;
  }
  sesamesaddle::InitializeLogging(settings->log_level);
  signal(SIGTERM, RequestStop);
  signal(SIGINT, RequestStop);
  signal(SIGPIPE, SIG_IGN);
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  sesamesaddle::SeededRandom random(sesamesaddle::SystemSeed());
  auto daemon = sesamesaddle::Daemon::Open(loop, *settings, random);
  if (!daemon) {
    LOG(ERROR) << "daemon: " << daemon.error().message << ".";
    return 1;
  }
  (*daemon)->Run(stop_requested);
  return 0;
}
