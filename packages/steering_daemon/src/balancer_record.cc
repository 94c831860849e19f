#include "steering_daemon/balancer_record.h"

namespace sesamesaddle {

schema::BalancerRecord MakeBalancerRecord(const SteeringSettings& settings) {
  schema::BalancerRecord record;
  record.name = settings.name;
  record.zone = settings.zone;
  record.control =
      PeerEndpoint(settings, settings.ip, PeerPort::kControl).Pack();
  record.replica =
      PeerEndpoint(settings, settings.ip, PeerPort::kReplica).Pack();
  const InstanceCapacity& capacity = settings.capacity;
  if (capacity.cpu_cores) record.__set_cpu_cores(*capacity.cpu_cores);
  if (capacity.link_mbps) record.__set_link_mbps(*capacity.link_mbps);
  return record;
}

InstanceCapacity CapacityOf(const schema::BalancerRecord& record) {
  InstanceCapacity capacity;
  if (record.__isset.cpu_cores) capacity.cpu_cores = record.cpu_cores;
  if (record.__isset.link_mbps) capacity.link_mbps = record.link_mbps;
  return capacity;
}

}  // namespace sesamesaddle
