#ifndef SESAMESADDLE_FLOW_LOCATION_FLOW_SEARCH_H_
#define SESAMESADDLE_FLOW_LOCATION_FLOW_SEARCH_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "placement/target_directory.h"

namespace sesamesaddle {

/** The services whose targets may hold a flow. */
struct SearchScope {
  /** Services of the route, current ones and recent ones; queried first. */
  std::vector<std::string> services;
  /** Targets of any other service may hold the flow as well. */
  bool any_service = true;

  bool InServices(const AgentView& view) const {
    return std::find(services.begin(), services.end(),
                     view.record.service_name) != services.end();
  }
  friend bool operator==(const SearchScope& a, const SearchScope& b) {
    return a.services == b.services && a.any_service == b.any_service;
  }
};

/** Queries for one flow to one agent. */
struct FlowQueryState {
  int queries = 0;
  TimePoint next_query{};
};

/** State of the search for the holder of one flow. */
struct FlowSearch {
  std::vector<std::string> packets;
  SearchScope scope;
  /** Agents queried for this flow so far. */
  std::map<Endpoint, FlowQueryState> queried;
  /** Agents that have replied that they do not hold the flow. */
  std::set<Endpoint> ruled_out;
  /** Agents whose digest has the flow's hash. */
  std::set<Endpoint> listed;
  /** Agents that are not sure, in the order of their replies. */
  std::vector<Endpoint> unsure;
  /** Unsure agents that were offered the packets, and when. */
  std::map<Endpoint, TimePoint> offered;
  uint32_t acknowledged = 0;
  /** Sequence number of the client's packet that started the search. */
  uint32_t client_sequence = 0;
  TimePoint started{};
  TimePoint next_round{};
  /** Digests of earlier rounds were asked for before the search began. */
  int64_t first_digest_round = 0;
  /** The likely agents were queried; the others are asked for digests. */
  bool by_digest = false;
  /** Digests alone ruled out an agent, as found by the last check of all. */
  bool denied_by_digest = false;
  /** An agent that may hold the flow, as found by the last check of all. */
  std::optional<Endpoint> undecided;

  bool IsUnsure(const Endpoint& agent) const {
    return std::find(unsure.begin(), unsure.end(), agent) != unsure.end();
  }
  /** Whether a query for this flow may still be answered. */
  bool AwaitsReplyOf(TimePoint now, const Endpoint& agent) const {
    const auto query = queried.find(agent);
    return query != queried.end() && now < query->second.next_query;
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_FLOW_SEARCH_H_
