#ifndef SESAMESADDLE_SERVING_RETRY_BUDGET_H_
#define SESAMESADDLE_SERVING_RETRY_BUDGET_H_

namespace sesamesaddle {

/**
 * Allows retries as a share of recent requests, so that an outage is not
 * multiplied: each request earns a fraction of a retry, up to a reserve.
 */
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kReserve = 10;

  void OnRequest();
  /** @return whether a retry is allowed; it is counted then. */
  bool TryRetry();

 private:
  double balance_ = kReserve;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_RETRY_BUDGET_H_
