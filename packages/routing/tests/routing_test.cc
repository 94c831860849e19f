#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "configuration/change_rules.h"
#include "core/random.h"
#include "routing/flow_directory.h"
#include "routing/load_view.h"
#include "routing/peer_liveness.h"
#include "routing/rendezvous.h"
#include "routing/service_table.h"

namespace sesamesaddle {
namespace {

Flow MakeFlow(uint32_t i) { return {Endpoint(i, 7), Endpoint(9, 5683)}; }

TEST_CASE("FindHomeAgents returns the two members of the highest weight") {
  rc::prop("matches full sort", [](uint32_t caller,
                                   const std::set<int64_t>& ids) {
    std::vector<MemberId> members;
    for (const int64_t id : ids) {
      if (id != 0) members.emplace_back(id);
    }
    const Flow flow = MakeFlow(caller);
    const HomeAgents homes = FindHomeAgents(flow, members);
    std::sort(members.begin(), members.end(), [&](MemberId a, MemberId b) {
      return RendezvousWeight(flow, a) > RendezvousWeight(flow, b);
    });
    RC_ASSERT(homes.first == (members.empty() ? MemberId() : members[0]));
    RC_ASSERT(homes.second == (members.size() < 2 ? MemberId() : members[1]));
  });
}

TEST_CASE(
    "After a join only the new member displaces the first home agent; after "
    "a leave the second becomes the first") {
  rc::prop("for any flow", [](uint32_t caller) {
    std::vector<MemberId> members;
    for (int64_t i = 1; i <= 7; ++i) members.emplace_back(i * 1000);
    const Flow flow = MakeFlow(caller);
    const HomeAgents before = FindHomeAgents(flow, members);
    members.emplace_back(99999);
    const HomeAgents joined = FindHomeAgents(flow, members);
    RC_ASSERT(
        joined.first == before.first ||
        (joined.first == MemberId(99999) && joined.second == before.first));
    members.pop_back();
    members.erase(std::find(members.begin(), members.end(), before.first));
    RC_ASSERT(FindHomeAgents(flow, members).first == before.second);
  });
}

TEST_CASE("First home agents are distributed evenly over the members") {
  std::vector<MemberId> members;
  for (int64_t i = 1; i <= 7; ++i) members.emplace_back(i);
  std::map<MemberId, int> flows;
  constexpr int kFlows = 14000;
  for (uint32_t i = 0; i < kFlows; ++i) {
    ++flows[FindHomeAgents(MakeFlow(i), members).first];
  }
  for (const auto& [id, count] : flows) {
    CHECK(count > kFlows / 7 * 9 / 10);
    CHECK(count < kFlows / 7 * 11 / 10);
  }
}

/** A reference model of the service table with linear look-ups. */
struct ClusterModel {
  std::map<int64_t, Member> members;
  schema::Configuration configuration;

  std::set<MemberId> Agents(const schema::Service& service,
                            bool leaving_only) const {
    std::set<MemberId> agents;
    for (const auto& [id, member] : members) {
      const bool leaving =
          member.record.draining ||
          configuration.instances.count(member.record.name) != 0 ||
          configuration.evacuated_zones.count(member.record.zone) != 0;
      if (member.present() && member.is_agent() &&
          MayServe(service, member.record.name, member.record.zone) &&
          (leaving || !leaving_only)) {
        agents.insert(member.id());
      }
    }
    return agents;
  }
};

std::set<MemberId> ToSet(const std::vector<MemberId>& ids) {
  return {ids.begin(), ids.end()};
}

TEST_CASE(
    "A service table updated incrementally equals one built from scratch") {
  rc::prop("matches the linear look-up", [] {
    ClusterModel model;
    ServiceTable table;
    const std::vector<std::string> patterns = {"a*", "?1", "*", "b2"};
    for (int step = 0; step < 40; ++step) {
      const int kind = *rc::gen::inRange(0, 5);
      if (kind < 2) {
        const int64_t id = *rc::gen::inRange<int64_t>(1, 8);
        Member& member = model.members[id];
        member.record.id = id;
        member.record.name =
            std::string(id % 2 == 0 ? "a" : "b") + std::to_string(id % 4);
        member.record.zone = id % 3 == 0 ? "x" : "y";
        member.record.role =
            id == 7 ? schema::Role::kBalancer : schema::Role::kAgent;
        member.record.state = *rc::gen::element(schema::MemberState::kAlive,
                                                schema::MemberState::kSuspect,
                                                schema::MemberState::kDead);
        member.record.draining = *rc::gen::arbitrary<bool>();
        table.SetMember(member);
        continue;
      }
      if (kind == 2) {
        const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 3));
        schema::Service& service = model.configuration.services[name];
        if (service.name.empty()) service.id = step + 1;
        service.name = name;
        service.address = service.id;
        schema::TargetRule rule;
        rule.pattern = *rc::gen::elementOf(patterns);
        rule.zone = *rc::gen::element<std::string>("", "x");
        service.targets = {rule};
      } else if (kind == 3) {
        auto& evacuated = model.configuration.evacuated_zones;
        const auto zone = *rc::gen::element<std::string>("x", "y");
        if (evacuated.erase(zone) == 0) evacuated[zone] = step;
      } else {
        const std::string name = "a" + std::to_string(*rc::gen::inRange(0, 4));
        if (*rc::gen::arbitrary<bool>()) {
          model.configuration.instances[name] = schema::InstanceMode::kDraining;
        } else {
          model.configuration.instances.erase(name);
        }
      }
      table.SetConfiguration(model.configuration);
    }
    for (const auto& [name, service] : model.configuration.services) {
      const ServiceEntry* entry =
          table.FindByAddress(Endpoint::Unpack(service.address));
      RC_ASSERT(entry != nullptr);
      const auto agents = model.Agents(service, false);
      const auto leaving = model.Agents(service, true);
      RC_ASSERT(ToSet(entry->agents) == agents);
      RC_ASSERT(ToSet(entry->leaving) == leaving);
      std::set<MemberId> homes;
      for (const MemberId id : agents) {
        if (leaving.count(id) == 0 || leaving == agents) homes.insert(id);
      }
      RC_ASSERT(ToSet(entry->home_candidates) == homes);
    }
  });
}

TEST_CASE(
    "The flow directory keeps the owner of the highest epoch in any order") {
  rc::prop("matches the maximum", [](const std::vector<uint8_t>& offers) {
    FlowDirectory directory;
    const Flow flow = MakeFlow(1);
    int64_t best_epoch = -1;
    MemberId best;
    for (const uint8_t offer : offers) {
      const Ownership ownership{MemberId(offer % 4 + 1), Epoch(offer / 4)};
      const auto instead = directory.Register(flow, ownership);
      const bool wins = best_epoch < 0 ||
                        ownership.epoch.value() > best_epoch ||
                        ownership.owner == best;
      RC_ASSERT(instead.has_value() != wins);
      if (wins) {
        best = ownership.owner;
        best_epoch = ownership.epoch.value();
      }
    }
    if (!offers.empty()) RC_ASSERT(directory.Find(flow)->owner == best);
  });
}

TEST_CASE("Removal by a previous owner leaves the entry of the next owner") {
  FlowDirectory directory;
  directory.Register(MakeFlow(1), {MemberId(2), Epoch(5)});
  directory.Remove(MakeFlow(1), MemberId(1));
  CHECK(directory.Find(MakeFlow(1)).has_value());
  directory.Remove(MakeFlow(1), MemberId(2));
  CHECK_FALSE(directory.Find(MakeFlow(1)).has_value());
}

TEST_CASE(
    "A silent peer is probed, then silent until a message arrives from it") {
  PeerLiveness liveness;
  TimePoint now(std::chrono::seconds(1));
  const MemberId peer(1);
  liveness.OnSent(now, peer);
  CHECK(liveness.TakePeersToProbe(now).empty());
  now += PeerLiveness::kProbeAfter;
  CHECK(liveness.TakePeersToProbe(now).size() == 1);
  CHECK(liveness.TakePeersToProbe(now).empty());
  CHECK_FALSE(liveness.Silent(now, peer));
  now += PeerLiveness::kSilentAfter;
  liveness.OnSent(now, peer);  // Does not restart the timeout.
  CHECK(liveness.Silent(now, peer));
  liveness.OnReceived(now, peer);
  CHECK_FALSE(liveness.Silent(now, peer));
}

schema::LoadReport MakeReport(int64_t sender, int flows, int in_flight,
                              bool accepting = true) {
  schema::LoadReport report;
  report.sender = sender;
  report.flows = flows;
  report.in_flight = in_flight;
  report.slots = 3;
  report.accepting = accepting;
  report.uptime_ms = 60000;
  return report;
}

TEST_CASE("Flows placed since the last report count as load") {
  SeededRandom random(1);
  LoadView loads(LoadViewOptions(), random);
  const TimePoint now(std::chrono::seconds(100));
  std::vector<MemberId> agents;
  for (int64_t i = 1; i <= 5; ++i) {
    loads.OnReport(now, MakeReport(i, 0, 0));
    agents.emplace_back(i);
  }
  std::map<MemberId, int> placed;
  for (int i = 0; i < 500; ++i) {
    const MemberId chosen = loads.ChooseForFlow(now, agents);
    loads.OnFlowPlaced(chosen);
    ++placed[chosen];
  }
  for (const auto& [id, count] : placed) {
    CHECK(count > 90);
    CHECK(count < 110);
  }
}

TEST_CASE("Full, non-accepting and stale agents are not chosen for a request") {
  SeededRandom random(1);
  LoadView loads(LoadViewOptions(), random);
  const TimePoint now(std::chrono::seconds(100));
  const std::vector<MemberId> agents = {MemberId(1), MemberId(2), MemberId(3)};
  loads.OnReport(now - std::chrono::seconds(5), MakeReport(1, 0, 0));
  loads.OnReport(now, MakeReport(2, 0, 0, false));
  loads.OnReport(now, MakeReport(3, 0, 2));
  for (int i = 0; i < 20; ++i) {
    CHECK(loads.ChooseForRequest(now, agents) == MemberId(3));
  }
  loads.OnRequestSent(MemberId(3));
  CHECK(loads.ChooseForRequest(now, agents) == MemberId());
}

TEST_CASE("A newly started agent gets a small share of the flows") {
  SeededRandom random(1);
  LoadView loads(LoadViewOptions(), random);
  const TimePoint now(std::chrono::seconds(100));
  auto cold = MakeReport(1, 0, 0);
  cold.uptime_ms = 0;
  loads.OnReport(now, cold);
  loads.OnReport(now, MakeReport(2, 0, 0));
  const std::vector<MemberId> agents = {MemberId(1), MemberId(2)};
  int to_cold = 0;
  for (int i = 0; i < 300; ++i) {
    const MemberId chosen = loads.ChooseForFlow(now, agents);
    loads.OnFlowPlaced(chosen);
    to_cold += static_cast<int>(chosen == MemberId(1));
  }
  // It has at most a third of the effective slots of the other agent.
  CHECK(to_cold < 300 * 35 / 100);
}

}  // namespace
}  // namespace sesamesaddle
