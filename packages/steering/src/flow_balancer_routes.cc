// The part of FlowBalancer that handles flows whose route is not known.

#include <utility>

#include "steering/flow_balancer.h"

namespace sesamesaddle {

void FlowBalancer::OnUnrouted(TimePoint now, const Flow& flow,
                              const PacketHeader& header,
                              std::string_view packet) {
  if (header.reset) return;  // The client has ended the flow.
  if (!header.syn) {
    // The flow may have opened by a later configuration than the one here.
    ++counters_.unrouted_packets;
    unrouted_.Add(now, flow, header.acknowledged, std::string(packet));
    output_.RefreshDirectory();
    return;
  }
  // A configuration that may be out of date can lack the newest routes, and a
  // copy may have opened the flow through a balancer that has them.
  if (!store_current_) return;
  SynCopies copies;
  copies.OnCopy(header.acknowledged, directory_.all_read_as_of());
  const auto evidence = AllCopiesSeen::Check(now, copies);
  if (evidence) Refuse(flow, Refusal::kNoRoute, *evidence);
}

void FlowBalancer::ForwardRouted(TimePoint now) {
  for (UnroutedFlows::Packets& waiting : unrouted_.TakeRouted(routes_)) {
    ++counters_.unrouted_found;
    for (std::string& packet : waiting.packets) {
      const auto header = codec_.Decode(packet);
      if (header) {
        OnData(now, waiting.flow, *header, packet.data(), packet.size());
      }
    }
  }
}

void FlowBalancer::ResetUnrouted(TimePoint read_began) {
  for (const auto& absent : unrouted_.TakeAbsent(routes_, read_began)) {
    ++counters_.resets_no_route;
    resetter_.Reset(absent.flow, absent.acknowledged, absent.evidence,
                    routes_.version);
  }
}

void FlowBalancer::OnDirectoryRead(TimePoint now, TimePoint as_of,
                                   StoreRevision revision, bool routes_known) {
  directory_revision_ = revision;
  if (!routes_known) return;
  locator_.OnDirectoryRead(now, as_of, revision);
  ResetUnrouted(as_of);
}

}  // namespace sesamesaddle
