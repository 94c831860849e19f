#ifndef SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_
#define SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/packet_socket.h"

namespace sesamesaddle {

class PacketWorld;

/**
 * The operators: writes one version of the configuration after another. Each
 * has a route that no other version has, so that a SYN to that route tells
 * whether a balancer has the version in force.
 */
class ConfigurationChanges {
 public:
  explicit ConfigurationChanges(PacketWorld& world);

  /** Writes the first version; the others follow until the calm time. */
  void Start();

 private:
  /** A SYN that asks for one version at one balancer. */
  struct Question {
    int balancer = 0;
    int version = 0;
    TimePoint sent{};
  };
  struct BalancerView {
    int version = 0;
    TimePoint shown{};
  };

  void Write();
  void Ask();
  void AskFor(int balancer, int version);
  void OnPacket(char* bytes, size_t size);
  void OnVersionShown(const Question& question);
  /** The route of that version only. */
  static Endpoint RouteOf(int version);
  static std::string DocumentOf(int version);

  PacketWorld& world_;
  HttpClient store_;
  std::unique_ptr<HttpCall> call_;
  std::unique_ptr<PacketSocket> socket_;
  std::vector<EventLoop::Timer> timers_;
  /** The version being written, and the newest one acknowledged. */
  int wanted_ = 1;
  int acknowledged_ = 0;
  bool asked_in_calm_ = false;
  std::vector<BalancerView> balancers_;
  uint16_t next_port_ = 1024;
  std::map<uint16_t, Question> questions_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_
