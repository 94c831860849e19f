#include "flow_location/flow_locator.h"

#include <algorithm>
#include <utility>

#include "placement/placement.h"

namespace sesamesaddle {
namespace {

// Bounds the backoff of queries within the time of a search.
constexpr int kMaxBackoffDoublings = 3;

bool Contains(const std::vector<Endpoint>& list, const Endpoint& agent) {
  return std::find(list.begin(), list.end(), agent) != list.end();
}

}  // namespace

void FlowLocator::Search(TimePoint now, const Flow& flow,
                         const PacketHeader& header, std::string packet,
                         const SearchScope& scope,
                         const std::vector<Endpoint>& likely_holders,
                         const std::vector<Endpoint>& ruled_out) {
  const auto [it, added] = searches_.try_emplace(flow);
  SearchState& search = it->second;
  search.acknowledged = header.acknowledged;
  for (const Endpoint& agent : ruled_out) search.ruled_out.insert(agent);
  if (added) {
    search.started = now;
    search.scope = scope;
  } else {
    // Targets that were offered packets of the flow get this one too.
    for (const auto& [agent, offered_at] : search.offered) {
      AgentView* view = directory_.Find(agent);
      if (view == nullptr || search.ruled_out.count(agent) != 0) continue;
      output_.OfferPacket(now, *view, packet);
    }
  }
  if (search.packets.size() < kMaxBufferedPackets) {
    search.packets.push_back(std::move(packet));
  }
  if (!added) return;
  for (const Endpoint& agent : likely_holders) {
    if (search.ruled_out.count(agent) == 0) search.unsure.push_back(agent);
  }
  if (OfferToUnsure(now, search)) return;
  std::vector<AgentView*> first;
  for (const std::string& service : search.scope.services) {
    for (AgentView* view :
         FlowCandidates(flow, topology_, directory_.OfService(service))) {
      if (search.ruled_out.count(view->agent) == 0) first.push_back(view);
    }
  }
  if (first.empty()) first = SelectNextAgents(now, flow, search);
  StartRound(now, flow, search, first);
}

void FlowLocator::StartRound(TimePoint now, const Flow& flow,
                             SearchState& search,
                             const std::vector<AgentView*>& agents) {
  search.next_round = now + kRoundTimeout;
  for (AgentView* view : agents) {
    QueryState& query = search.queried[view->agent];
    query.next_query = now + kQueryRetryDelay * (1 << query.queries);
    query.queries = std::min(query.queries + 1, kMaxBackoffDoublings);
    output_.QueryAgent(now, *view, flow);
  }
}

void FlowLocator::OnUnsure(TimePoint now, const Flow& flow,
                           const Endpoint& agent) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return;
  SearchState& search = it->second;
  if (Contains(search.unsure, agent)) return;
  search.unsure.push_back(agent);
  Advance(now, flow, search);
}

bool FlowLocator::AwaitsOffer(TimePoint now, const SearchState& search) {
  return std::any_of(search.offered.begin(), search.offered.end(),
                     [now, &search](const auto& offer) {
                       return search.ruled_out.count(offer.first) == 0 &&
                              now - offer.second < kOfferTimeout;
                     });
}

bool FlowLocator::AwaitsReply(TimePoint now, const SearchState& search) {
  if (now >= search.next_round) return false;
  return std::any_of(search.queried.begin(), search.queried.end(),
                     [&search](const auto& query) {
                       return search.ruled_out.count(query.first) == 0 &&
                              !Contains(search.unsure, query.first);
                     });
}

bool FlowLocator::OfferToUnsure(TimePoint now, SearchState& search) {
  size_t offers = 0;
  for (const Endpoint& agent : search.unsure) {
    AgentView* view = directory_.Find(agent);
    if (view == nullptr || search.ruled_out.count(agent) != 0) continue;
    if (offers == kOffersPerRound) break;
    if (!search.offered.emplace(agent, now).second) continue;
    ++offers;
    for (const std::string& packet : search.packets) {
      output_.OfferPacket(now, *view, packet);
    }
  }
  return offers > 0;
}

void FlowLocator::Advance(TimePoint now, const Flow& flow,
                          SearchState& search) {
  if (AwaitsOffer(now, search) || AwaitsReply(now, search)) return;
  if (OfferToUnsure(now, search)) return;
  StartRound(now, flow, search, SelectNextAgents(now, flow, search));
}

std::vector<AgentView*> FlowLocator::SelectNextAgents(
    TimePoint now, const Flow& flow, const SearchState& search) {
  const auto open = [now, &search](const AgentView* view) {
    if (search.ruled_out.count(view->agent) != 0) return false;
    // It has replied, and its target decides.
    if (Contains(search.unsure, view->agent)) return false;
    const auto query = search.queried.find(view->agent);
    return query == search.queried.end() || now >= query->second.next_query;
  };
  std::vector<AgentView*> next;
  for (const std::string& service : search.scope.services) {
    for (AgentView* view : directory_.OfService(service)) {
      if (open(view)) next.push_back(view);
    }
  }
  if (next.empty() && search.scope.any_service) {
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

std::vector<std::string> FlowLocator::CompleteSearch(const Flow& flow,
                                                     const Endpoint& holder) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return {};
  std::vector<std::string> packets;
  if (it->second.offered.count(holder) == 0) {
    packets = std::move(it->second.packets);
  }
  searches_.erase(it);
  return packets;
}

void FlowLocator::OnNotHeld(TimePoint now, const Flow& flow,
                            const Endpoint& agent) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return;
  SearchState& search = it->second;
  search.ruled_out.insert(agent);
  if (!ConcludeIfNotFound(now, flow)) Advance(now, flow, search);
}

bool FlowLocator::ConcludeIfNotFound(TimePoint now, const Flow& flow) {
  const auto it = searches_.find(flow);
  const SearchState& search = it->second;
  if (!AllRuledOut(search)) return false;
  if (directory_as_of_ < search.started) {
    output_.RefreshDirectory();
    return false;
  }
  const uint32_t acknowledged = search.acknowledged;
  searches_.erase(it);
  output_.OnFlowNotFound(now, flow, acknowledged);
  return true;
}

void FlowLocator::OnDirectoryRead(TimePoint now, TimePoint as_of) {
  if (as_of <= directory_as_of_) return;
  directory_as_of_ = as_of;
  std::vector<Flow> flows;
  for (const auto& [flow, search] : searches_) flows.push_back(flow);
  for (const Flow& flow : flows) {
    if (!ConcludeIfNotFound(now, flow)) {
      Advance(now, flow, searches_.at(flow));
    }
  }
}

bool FlowLocator::AllRuledOut(const SearchState& search) {
  const auto is_ruled_out = [&search](const AgentView* view) {
    return search.ruled_out.count(view->agent) != 0;
  };
  if (search.scope.any_service) {
    if (search.ruled_out.size() < directory_.size()) return false;
    const std::vector<AgentView*> all = directory_.All();
    return std::all_of(all.begin(), all.end(), is_ruled_out);
  }
  return std::all_of(search.scope.services.begin(), search.scope.services.end(),
                     [&](const std::string& service) {
                       const auto& agents = directory_.OfService(service);
                       return std::all_of(agents.begin(), agents.end(),
                                          is_ruled_out);
                     });
}

void FlowLocator::OnTick(TimePoint now) {
  for (auto it = searches_.begin(); it != searches_.end();) {
    SearchState& search = it->second;
    if (now - search.started > kSearchTimeout) {
      it = searches_.erase(it);
      continue;
    }
    if (now >= search.next_round) {
      StartRound(now, it->first, search,
                 SelectNextAgents(now, it->first, search));
      if (AllRuledOut(search)) output_.RefreshDirectory();
    }
    ++it;
  }
}

}  // namespace sesamesaddle
