#include "target_announcements.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "platform/heartbeat.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;

/** Targets announce themselves at least this often. */
constexpr uint64_t kMaxAnnounceMs = 1200;
constexpr uint64_t kMinAnnounceMs = 900;
/** Calls that a cut held up arrive within this time after its end. */
constexpr uint64_t kMaxReorderMs = 300;
constexpr uint64_t kMaxOddIntervalMs = 1100;
/** Fields of an announcement, and ways in which one is odd. */
constexpr size_t kFields = 9;
constexpr uint64_t kOddKinds = 4;
/** Start times are Unix milliseconds, above all that tests set back. */
constexpr int64_t kFirstBornMs = 1700000000000;
constexpr int64_t kClockStepMs = 15000;
/** Time from a target to its agent, which share a machine. */
constexpr Duration kLocalDelay = std::chrono::microseconds(50);

Endpoint AddressOf(size_t i) {
  return Endpoint(SteeringWorld::AgentAddress(i).ip(), 8080);
}

int64_t ToMs(TimePoint time) {
  return time.time_since_epoch() / milliseconds(1);
}

}  // namespace

TargetAnnouncements::TargetAnnouncements(SteeringWorld& world,
                                         RandomSource& random)
    : world_(world),
      random_(random),
      senders_(world.targets.size()),
      former_(world.targets.size()),
      connections_(world.targets.size()),
      cut_until_(world.targets.size()),
      latest_(world.targets.size()) {
  for (size_t i = 0; i < senders_.size(); ++i) {
    // As the world has announced it at its start.
    senders_[i].id = "t" + std::to_string(i);
    senders_[i].born_ms = world.targets[i]->starts;
    senders_[i].sequence = 1;
    former_[i].id = "before-" + std::to_string(i);
  }
}

void TargetAnnouncements::Begin() {
  for (size_t i = 0; i < senders_.size(); ++i) {
    world_.scheduler.After(milliseconds(random_.Below(kMaxAnnounceMs)),
                           [this, i] { AnnouncePeriodically(i); });
  }
}

void TargetAnnouncements::AnnouncePeriodically(size_t i) {
  if (world_.targets[i]->alive) Send(i, MakeAnnouncement(i), HeldUp(i));
  world_.scheduler.After(
      milliseconds(kMinAnnounceMs +
                   random_.Below(kMaxAnnounceMs - kMinAnnounceMs)),
      [this, i] { AnnouncePeriodically(i); });
}

void TargetAnnouncements::OnStart(size_t i, NextTarget next,
                                  Duration slow_start, Duration delay) {
  const TimePoint now = world_.scheduler.Now();
  former_[i] = senders_[i];
  Sender sender;
  sender.id = next == NextTarget::kSameId ? former_[i].id
                                          : "t" + std::to_string(i) + "-" +
                                                std::to_string(++incarnations_);
  sender.born_ms = kFirstBornMs + ToMs(now);
  if (next == NextTarget::kClockSetBack) {
    sender.born_ms = std::max<int64_t>(0, former_[i].born_ms - kClockStepMs);
  }
  sender.cold_until = now + slow_start;
  senders_[i] = sender;
  connections_[i] = Connection();
  const int incarnation = world_.targets[i]->starts;
  world_.scheduler.After(delay, [this, i, incarnation] {
    const VirtualTarget& target = *world_.targets[i];
    if (!target.alive || target.starts != incarnation) return;
    Send(i, MakeAnnouncement(i), HeldUp(i));
  });
}

void TargetAnnouncements::CutOff(size_t i, Duration duration) {
  cut_until_[i] = std::max(cut_until_[i], world_.scheduler.Now() + duration);
}

void TargetAnnouncements::SendLate(size_t i, Duration delay) {
  if (world_.targets[i]->alive) Send(i, MakeAnnouncement(i), delay);
}

void TargetAnnouncements::Repeat(size_t i, Duration delay) {
  if (!latest_[i].id.empty()) Send(i, latest_[i], delay);
}

void TargetAnnouncements::Deregister(size_t i, Duration delay) {
  Send(i, MakeCall(i), delay);
}

void TargetAnnouncements::SendOdd(size_t i, int calls) {
  const std::array<std::string, 3> ids = {senders_[i].id, former_[i].id,
                                          "stranger"};
  Oddity oddity;
  oddity.id = ids[random_.Below(ids.size())];
  oddity.field = random_.Below(kFields);
  oddity.kind = random_.Below(kOddKinds);
  SendOddCalls(i, oddity, calls);
}

void TargetAnnouncements::SendOddCalls(size_t i, const Oddity& oddity,
                                       int calls) {
  if (calls == 0) return;
  Sender sender = senders_[i];
  // The sequence is that of a later announcement than any of the target's.
  sender.sequence = ++odd_sequence_;
  Call call;
  call.id = oddity.id;
  call.body = MakeOdd(BodyOf(i, sender), oddity);
  call.sent_after = world_.scheduler.Now();
  Send(i, call, Duration::zero());
  world_.scheduler.After(milliseconds(random_.Below(kMaxOddIntervalMs)),
                         [=] { SendOddCalls(i, oddity, calls - 1); });
}

Duration TargetAnnouncements::HeldUp(size_t i) const {
  const TimePoint now = world_.scheduler.Now();
  if (cut_until_[i] <= now) return Duration::zero();
  return cut_until_[i] - now + milliseconds(random_.Below(kMaxReorderMs));
}

TargetAnnouncements::Call TargetAnnouncements::MakeCall(size_t i) {
  Connection& connection = connections_[i];
  // A call that waits for too long is made again on another connection.
  if (connection.agent != world_.agent(i) || connection.waiting) {
    connection = Connection();
    connection.number = ++last_connection_;
    connection.agent = world_.agent(i);
    connection.sent_after = world_.scheduler.Now();
  }
  connection.waiting = true;
  return {senders_[i].id, "", connection.sent_after, connection.number};
}

TargetAnnouncements::Call TargetAnnouncements::MakeAnnouncement(size_t i) {
  latest_[i] = MakeCall(i);
  ++senders_[i].sequence;
  latest_[i].body = BodyOf(i, senders_[i]);
  return latest_[i];
}

void TargetAnnouncements::Send(size_t i, const Call& call, Duration delay) {
  FlowAgent* const agent = world_.agent(i);
  if (agent == nullptr) return;
  world_.scheduler.After(kLocalDelay + delay, [this, i, agent, call] {
    if (world_.agent(i) != agent) return;
    world_.agent_process(i).Receive(
        VirtualSocket::kStore,
        [this, i, agent, call] { Handle(i, *agent, call); });
  });
}

void TargetAnnouncements::Handle(size_t i, FlowAgent& agent, const Call& call) {
  const TimePoint now = world_.scheduler.Now();
  if (call.connection == connections_[i].number) {
    connections_[i].sent_after = now;
    connections_[i].waiting = false;
  }
  if (call.body.empty()) {
    if (agent.OnDeregister(now, call.id, call.sent_after)) {
      world_.RemoveEntry(i);
    }
    return;
  }
  const auto heartbeat = ParseHeartbeat(call.id, call.body);
  if (!heartbeat || heartbeat->address != AddressOf(i) ||
      heartbeat->announcement.service != world_.ServiceOf(i)) {
    return;
  }
  TargetAnnouncement announcement = heartbeat->announcement;
  announcement.sent_after = call.sent_after;
  const AnnouncementEffect effect = agent.OnAnnouncement(now, announcement);
  const bool published = effect == AnnouncementEffect::kChanged ||
                         effect == AnnouncementEffect::kNewIncarnation;
  if (published) world_.PublishTarget(i);
}

std::string TargetAnnouncements::BodyOf(size_t i, const Sender& sender) const {
  const TimePoint now = world_.scheduler.Now();
  const Duration cold = std::max(Duration::zero(), sender.cold_until - now);
  const nlohmann::json body = {{"service", world_.ServiceOf(i)},
                               {"address", AddressOf(i).ToString()},
                               {"zone", "zone"},
                               {"version", "v1"},
                               {"capacity", world_.targets[i]->slots},
                               {"state", "ready"},
                               {"slowStartMs", cold / milliseconds(1)},
                               {"seq", sender.sequence},
                               {"born", sender.born_ms}};
  return body.dump();
}

std::string TargetAnnouncements::MakeOdd(const std::string& body,
                                         const Oddity& oddity) {
  nlohmann::json json = nlohmann::json::parse(body);
  auto field = json.begin();
  std::advance(field, static_cast<ptrdiff_t>(oddity.field % json.size()));
  const std::string name = field.key();
  switch (oddity.kind) {
    case 0:
      json.erase(name);
      break;
    case 1:
      json[name] = field->is_string() ? nlohmann::json(7) : nlohmann::json("7");
      break;
    case 2:
      json[name] = field->is_string() ? nlohmann::json("") : nlohmann::json(-1);
      break;
    default:
      return body.substr(0, body.size() / 2);
  }
  return json.dump();
}

}  // namespace sesamesaddle
