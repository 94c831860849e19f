#ifndef SESAMESADDLE_DAEMON_AGENT_ROLE_H_
#define SESAMESADDLE_DAEMON_AGENT_ROLE_H_

#include <map>
#include <memory>
#include <string>

#include "agent/agent.h"
#include "daemon/role.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "settings_types.h"

namespace sesamesaddle {

/** An agent and its HTTP connections to the target. */
class AgentRole : public Role {
 public:
  AgentRole(EventLoop& loop, const schema::DaemonSettings& settings,
            const schema::MemberRecord& self, RandomSource& random,
            ActionExecutor execute_actions);

  ControlPlane& control() override { return agent_.control(); }
  void OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  void ExecuteAction(const Action& action) override;
  void BeginStop() override;
  std::string PendingWork(TimePoint now) const override;
  void Leave(TimePoint now, Outbox& out) override;
  Counters counters() const override;
  void FillDump(TimePoint now, schema::StateDump& dump) const override;

 private:
  struct TargetCall {
    std::unique_ptr<HttpCall> call;
    EventLoop::Timer timer;
  };

  void StartTargetCall(const StartCall& start);
  void FinishTargetCall(CallId id, TargetResponse response);

  EventLoop& loop_;
  HttpClient target_;
  Agent agent_;
  ActionExecutor execute_actions_;
  std::map<CallId, TargetCall> calls_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_AGENT_ROLE_H_
