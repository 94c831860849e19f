#include "flow_location/flow_locator.h"

#include <algorithm>
#include <utility>

#include "placement/placement.h"
#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

// Bounds the backoff of queries within the time of a search.
constexpr int kMaxBackoffDoublings = 3;

}  // namespace

void FlowLocator::Search(TimePoint now, const Flow& flow,
                         const PacketHeader& header, std::string packet,
                         const std::vector<Endpoint>& likely_holders,
                         const std::vector<Endpoint>& ruled_out) {
  const auto [it, added] = searches_.try_emplace(flow);
  FlowSearch& search = it->second;
  search.acknowledged = header.acknowledged;
  for (const Endpoint& agent : ruled_out) search.ruled_out.insert(agent);
  if (added) {
    search.started = now;
    search.client_sequence = header.sequence;
    search.scope = output_.ScopeOf(now, flow);
    search.first_digest_round = digest_rounds_.next_round();
    flows_by_hash_.emplace(DigestHash(flow), flow);
    RecallDenials(flow, search);
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
  if (first.empty()) {
    QueryFurtherAgents(now, flow, search);
  } else {
    StartRound(now, flow, search, first);
  }
  StartDigestRound(now);
}

void FlowLocator::QueryFurtherAgents(TimePoint now, const Flow& flow,
                                     FlowSearch& search) {
  search.by_digest = true;
  StartRound(now, flow, search, SelectNextAgents(now, flow, search));
}

void FlowLocator::StartRound(TimePoint now, const Flow& flow,
                             FlowSearch& search,
                             const std::vector<AgentView*>& agents) {
  search.next_round = now + kRoundTimeout;
  for (AgentView* view : agents) {
    RecordQuery(now, search, view->agent);
    output_.QueryAgent(now, *view, flow);
  }
}

void FlowLocator::RecordQuery(TimePoint now, FlowSearch& search,
                              const Endpoint& agent) {
  FlowQueryState& query = search.queried[agent];
  query.next_query = now + kQueryRetryDelay * (1 << query.queries);
  query.queries = std::min(query.queries + 1, kMaxBackoffDoublings);
}

void FlowLocator::OnUnsure(TimePoint now, const Flow& flow,
                           const Endpoint& agent) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return;
  FlowSearch& search = it->second;
  if (search.IsUnsure(agent)) return;
  search.unsure.push_back(agent);
  Advance(now, flow, search);
  StartDigestRound(now);
}

bool FlowLocator::AwaitsOffer(TimePoint now, const FlowSearch& search) {
  return std::any_of(search.offered.begin(), search.offered.end(),
                     [now, &search](const auto& offer) {
                       return search.ruled_out.count(offer.first) == 0 &&
                              now - offer.second < kOfferTimeout;
                     });
}

bool FlowLocator::AwaitsReply(TimePoint now, const FlowSearch& search) const {
  if (search.by_digest && digest_rounds_.InProgress() &&
      search.first_digest_round <= digest_rounds_.round()) {
    return true;
  }
  if (now >= search.next_round) return false;
  // Queries are sent in order of agents, so the last ones reply last.
  return std::any_of(search.queried.rbegin(), search.queried.rend(),
                     [this, now, &search](const auto& query) {
                       const AgentView* view = directory_.Find(query.first);
                       return view != nullptr &&
                              !IsRuledOut(now, search, *view) &&
                              !search.IsUnsure(query.first);
                     });
}

bool FlowLocator::OfferToUnsure(TimePoint now, FlowSearch& search) {
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

void FlowLocator::Advance(TimePoint now, const Flow& flow, FlowSearch& search) {
  if (AwaitsOffer(now, search) || AwaitsReply(now, search)) return;
  if (OfferToUnsure(now, search)) return;
  QueryFurtherAgents(now, flow, search);
}

std::vector<AgentView*> FlowLocator::SelectNextAgents(
    TimePoint now, const Flow& flow, const FlowSearch& search) {
  std::vector<AgentView*> next;
  std::vector<AgentView*> others;
  const auto consider = [&](const Endpoint& agent) {
    AgentView* view = directory_.Find(agent);
    // The target of an unsure agent decides.
    if (view == nullptr || IsRuledOut(now, search, *view) ||
        search.IsUnsure(agent) || search.AwaitsReplyOf(now, agent)) {
      return;
    }
    (search.scope.InServices(*view) ? next : others).push_back(view);
  };
  for (const Endpoint& agent : search.listed) consider(agent);
  for (const Endpoint& agent : digest_rounds_.agents_without_digest()) {
    if (search.listed.count(agent) == 0) consider(agent);
  }
  if (next.empty() && search.scope.any_service) next = std::move(others);
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
  Erase(it);
  return packets;
}

void FlowLocator::OnNotHeld(TimePoint now, const Flow& flow,
                            const Endpoint& agent) {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return;
  FlowSearch& search = it->second;
  search.ruled_out.insert(agent);
  if (!ConcludeIfNotFound(now, flow)) Advance(now, flow, search);
  StartDigestRound(now);
}

FlowLocator::SearchMap::iterator FlowLocator::Erase(SearchMap::iterator it) {
  const auto range = flows_by_hash_.equal_range(DigestHash(it->first));
  for (auto entry = range.first; entry != range.second; ++entry) {
    if (!(entry->second == it->first)) continue;
    flows_by_hash_.erase(entry);
    break;
  }
  return searches_.erase(it);
}

FlowLocator::SearchMap::iterator FlowLocator::EndWithoutHolder(
    TimePoint now, SearchMap::iterator it) {
  const FlowSearch& search = it->second;
  if (!search.ruled_out.empty() && denials_.size() < kMaxRetainedDenials) {
    denials_[it->first] = {search.ruled_out, search.client_sequence, now};
  }
  return Erase(it);
}

void FlowLocator::RecallDenials(const Flow& flow, FlowSearch& search) {
  const auto it = denials_.find(flow);
  if (it == denials_.end()) return;
  // A later flow from the same port begins with another sequence number.
  if (MayFollowSyn(search.client_sequence, it->second.client_sequence)) {
    search.ruled_out.insert(it->second.agents.begin(), it->second.agents.end());
  }
  denials_.erase(it);
}

bool FlowLocator::SearchesFlowOf(const Flow& flow,
                                 uint32_t syn_sequence) const {
  const auto it = searches_.find(flow);
  return it != searches_.end() &&
         MayFollowSyn(it->second.client_sequence, syn_sequence);
}

std::optional<uint32_t> FlowLocator::ClientSequenceOf(const Flow& flow) const {
  const auto it = searches_.find(flow);
  if (it == searches_.end()) return std::nullopt;
  return it->second.client_sequence;
}

void FlowLocator::Cancel(const Flow& flow) {
  const auto it = searches_.find(flow);
  if (it != searches_.end()) Erase(it);
}

bool FlowLocator::ConcludeIfNotFound(TimePoint now, const Flow& flow) {
  const auto it = searches_.find(flow);
  FlowSearch& search = it->second;
  if (!AllRuledOut(now, flow, search)) return false;
  if (RefreshIfNeeded(now, search)) return false;
  if (UpdateScope(now, flow, search) && !AllRuledOut(now, flow, search)) {
    return false;
  }
  const auto evidence = FlowDenied::Check(SummarizeDenials(now, search));
  if (!evidence) return false;
  const uint32_t acknowledged = search.acknowledged;
  if (search.denied_by_digest) ++resolved_by_digest_;
  EndWithoutHolder(now, it);
  output_.OnFlowDenied(now, flow, acknowledged, *evidence);
  return true;
}

bool FlowLocator::RefreshIfNeeded(TimePoint now, const FlowSearch& search) {
  const bool older = directory_as_of_ < search.started;
  if (!older && trust_.Covers(directory_as_of_)) return false;
  if (older || trust_.Trusted(now)) output_.RefreshDirectory();
  return true;
}

bool FlowLocator::UpdateScope(TimePoint now, const Flow& flow,
                              FlowSearch& search) {
  SearchScope scope = output_.ScopeOf(now, flow);
  if (scope == search.scope) return false;
  search.scope = std::move(scope);
  search.undecided.reset();
  return true;
}

FlowDenied::Search FlowLocator::SummarizeDenials(
    TimePoint now, const FlowSearch& search) const {
  FlowDenied::Search summary;
  summary.started = search.started;
  summary.directory_as_of = directory_as_of_;
  for (const AgentView* view : directory_.All()) {
    if (!search.scope.any_service && !search.scope.InServices(*view)) continue;
    ++summary.agents;
    if (IsDenied(search, view->agent)) {
      ++summary.denied;
    } else if (directory_.Ended(now, *view)) {
      ++summary.ended;
    }
  }
  return summary;
}

void FlowLocator::OnDirectoryRead(TimePoint now, TimePoint as_of,
                                  StoreRevision revision) {
  trust_.OnDirectoryRead(now, revision);
  if (as_of <= directory_as_of_) return;
  directory_as_of_ = as_of;
  AdvanceAll(now);
  StartDigestRound(now);
}

void FlowLocator::AdvanceAll(TimePoint now) {
  std::vector<Flow> flows;
  flows.reserve(searches_.size());
  for (const auto& [flow, search] : searches_) flows.push_back(flow);
  for (const Flow& flow : flows) {
    if (!ConcludeIfNotFound(now, flow)) {
      Advance(now, flow, searches_.at(flow));
    }
  }
}

bool FlowLocator::IsDenied(const FlowSearch& search,
                           const Endpoint& agent) const {
  if (search.ruled_out.count(agent) != 0) return true;
  return digest_rounds_.HasDigestSince(agent, search.first_digest_round) &&
         search.listed.count(agent) == 0;
}

bool FlowLocator::IsRuledOut(TimePoint now, const FlowSearch& search,
                             const AgentView& view) const {
  return IsDenied(search, view.agent) || directory_.Ended(now, view);
}

bool FlowLocator::AllRuledOut(TimePoint now, const Flow& flow,
                              FlowSearch& search) {
  if (search.undecided) {
    const AgentView* view = directory_.Find(*search.undecided);
    const bool in_scope = view != nullptr && (search.scope.any_service ||
                                              search.scope.InServices(*view));
    if (in_scope && !IsRuledOut(now, search, *view)) return false;
  }
  search.undecided.reset();
  search.denied_by_digest = false;
  if (search.scope.any_service) {
    return AreRuledOut(now, flow, search, directory_.All());
  }
  return std::all_of(search.scope.services.begin(), search.scope.services.end(),
                     [&](const std::string& service) {
                       return AreRuledOut(now, flow, search,
                                          directory_.OfService(service));
                     });
}

bool FlowLocator::AreRuledOut(TimePoint now, const Flow& flow,
                              FlowSearch& search,
                              const std::vector<AgentView*>& agents) const {
  // Agents are queried in their order, in turn. In reverse order the agent that
  // is found after the first check is the one that is queried last, so that few
  // checks have to look at all agents.
  const size_t size = agents.size();
  const size_t begin = agents.empty() ? 0 : HashFlow(flow) % size;
  for (size_t i = 0; i < size; ++i) {
    const AgentView& view = *agents[(begin + size - i) % size];
    if (!IsRuledOut(now, search, view)) {
      search.undecided = view.agent;
      return false;
    }
    if (search.ruled_out.count(view.agent) == 0 &&
        IsDenied(search, view.agent)) {
      search.denied_by_digest = true;
    }
  }
  return true;
}

void FlowLocator::OnTick(TimePoint now) {
  digest_rounds_.ExpireWithoutDigest(now);
  EndDigestRound(now);
  for (auto it = denials_.begin(); it != denials_.end();) {
    it = now - it->second.ended > kDenialRetention ? denials_.erase(it)
                                                   : std::next(it);
  }
  for (auto it = searches_.begin(); it != searches_.end();) {
    FlowSearch& search = it->second;
    if (now - search.started > kSearchTimeout) {
      it = EndWithoutHolder(now, it);
      continue;
    }
    if (now >= search.next_round) {
      search.by_digest = true;
      StartRound(now, it->first, search,
                 SelectNextAgents(now, it->first, search));
      if (AllRuledOut(now, it->first, search)) RefreshIfNeeded(now, search);
    }
    ++it;
  }
  StartDigestRound(now);
}

}  // namespace sesamesaddle
