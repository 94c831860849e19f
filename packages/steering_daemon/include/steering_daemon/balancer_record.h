#ifndef SESAMESADDLE_STEERING_DAEMON_BALANCER_RECORD_H_
#define SESAMESADDLE_STEERING_DAEMON_BALANCER_RECORD_H_

#include "steering_daemon/steering_settings.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Returns the record with which a balancer registers itself in the store. */
schema::BalancerRecord MakeBalancerRecord(const SteeringSettings& settings);

/** Returns the capacity in a record; unknown in one of an earlier version. */
InstanceCapacity CapacityOf(const schema::BalancerRecord& record);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_BALANCER_RECORD_H_
