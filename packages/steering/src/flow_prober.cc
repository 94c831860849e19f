#include "steering/flow_prober.h"

#include <algorithm>
#include <utility>

#include "steering/placement.h"

namespace sesamesaddle {

void FlowProber::Search(TimePoint now, const Flow& flow,
                        const PacketHeader& head, std::string packet,
                        const SearchScope& scope,
                        const std::vector<Endpoint>& likely,
                        const std::vector<Endpoint>& denied) {
  const auto [it, added] = searches_.try_emplace(flow);
  SearchState& search = it->second;
  search.acknowledged = head.acknowledged;
  for (const Endpoint& agent : denied) search.denied.insert(agent);
  if (added) {
    search.started = now;
    search.scope = scope;
  } else {
    // Targets that decide get the further packets of the flow as well.
    for (const Endpoint& agent : search.unsure) {
      AgentView* view = directory_.Find(agent);
      if (view == nullptr || search.denied.count(agent) != 0) continue;
      output_.Offer(now, *view, packet);
    }
  }
  if (search.packets.size() < kMaxHeldPackets) {
    search.packets.push_back(std::move(packet));
  }
  if (!added) return;
  std::vector<AgentView*> first;
  for (const Endpoint& agent : likely) {
    AgentView* view = directory_.Find(agent);
    if (view != nullptr && search.denied.count(agent) == 0) {
      first.push_back(view);
    }
  }
  if (first.empty()) {
    for (const std::string& service : search.scope.services) {
      for (AgentView* view :
           FlowCandidates(flow, topology_, directory_.OfService(service))) {
        if (search.denied.count(view->agent) == 0) first.push_back(view);
      }
    }
  }
  if (first.empty()) first = NextAgents(flow, search);
  AskRound(now, flow, search, first);
}

void FlowProber::AskRound(TimePoint now, const Flow& flow, SearchState& search,
                          const std::vector<AgentView*>& agents) {
  search.next_round = now + kRoundTime;
  for (AgentView* view : agents) {
    search.asked.insert(view->agent);
    output_.Ask(now, *view, flow);
  }
}

void FlowProber::OnUnsure(TimePoint now, const Flow& flow,
                          const Endpoint& agent) {
  const auto it = searches_.find(flow);
  AgentView* view = directory_.Find(agent);
  if (it == searches_.end() || view == nullptr) return;
  if (!it->second.unsure.insert(agent).second) return;
  for (const std::string& packet : it->second.packets) {
    output_.Offer(now, *view, packet);
  }
}

std::vector<AgentView*> FlowProber::NextAgents(const Flow& flow,
                                               const SearchState& search) {
  const auto open = [&search](const AgentView* view) {
    return search.asked.count(view->agent) == 0 &&
           search.denied.count(view->agent) == 0;
  };
  std::vector<AgentView*> next;
  for (const std::string& service : search.scope.services) {
    for (AgentView* view : directory_.OfService(service)) {
      if (open(view)) next.push_back(view);
    }
  }
  if (next.empty() && search.scope.everywhere) {
    for (AgentView* view : directory_.All()) {
      if (open(view)) next.push_back(view);
    }
  }
  const uint64_t seed = HashFlow(flow);
  std::sort(next.begin(), next.end(), [seed](auto* a, auto* b) {
    return (static_cast<uint64_t>(a->agent.Pack()) ^ seed) <
           (static_cast<uint64_t>(b->agent.Pack()) ^ seed);
  });
  if (next.size() > kAgentsPerRound) next.resize(kAgentsPerRound);
  return next;
}

std::vector<std::string> FlowProber::Found(const Flow& flow,
                                           const Endpoint& holder) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return {};
  std::vector<std::string> packets;
  if (it->second.unsure.count(holder) == 0) {
    packets = std::move(it->second.packets);
  }
  searches_.erase(it);
  return packets;
}

void FlowProber::OnNotHeld(TimePoint now, const Flow& flow,
                           const Endpoint& agent) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return;
  SearchState& search = it->second;
  search.denied.insert(agent);
  if (!Conclude(now, flow)) Continue(now, flow, search);
}

bool FlowProber::Conclude(TimePoint now, const Flow& flow) {
  const auto it = searches_.find(flow);
  const SearchState& search = it->second;
  if (!AllDenied(search)) return false;
  if (directory_as_of_ < search.started) {
    output_.RefreshDirectory();
    return false;
  }
  const uint32_t acknowledged = search.acknowledged;
  searches_.erase(it);
  output_.OnNobodyHolds(now, flow, acknowledged);
  return true;
}

void FlowProber::Continue(TimePoint now, const Flow& flow,
                          SearchState& search) {
  const bool round_over = std::all_of(search.asked.begin(), search.asked.end(),
                                      [&search](const Endpoint& asked) {
                                        return search.denied.count(asked) != 0;
                                      });
  if (round_over) AskRound(now, flow, search, NextAgents(flow, search));
}

void FlowProber::OnDirectoryRead(TimePoint now, TimePoint as_of) {
  if (as_of <= directory_as_of_) return;
  directory_as_of_ = as_of;
  std::vector<Flow> flows;
  for (const auto& [flow, search] : searches_) flows.push_back(flow);
  for (const Flow& flow : flows) {
    if (!Conclude(now, flow)) Continue(now, flow, searches_.at(flow));
  }
}

bool FlowProber::AllDenied(const SearchState& search) {
  const auto denied = [&search](const AgentView* view) {
    return search.denied.count(view->agent) != 0;
  };
  if (search.scope.everywhere) {
    if (search.denied.size() < directory_.size()) return false;
    const std::vector<AgentView*> all = directory_.All();
    return std::all_of(all.begin(), all.end(), denied);
  }
  return std::all_of(search.scope.services.begin(), search.scope.services.end(),
                     [&](const std::string& service) {
                       const auto& agents = directory_.OfService(service);
                       return std::all_of(agents.begin(), agents.end(), denied);
                     });
}

void FlowProber::OnTick(TimePoint now) {
  for (auto it = searches_.begin(); it != searches_.end();) {
    SearchState& search = it->second;
    if (now - search.started > kSearchLimit) {
      it = searches_.erase(it);
      continue;
    }
    if (now >= search.next_round) {
      AskRound(now, it->first, search, NextAgents(it->first, search));
      if (AllDenied(search)) output_.RefreshDirectory();
    }
    ++it;
  }
}

}  // namespace sesamesaddle
