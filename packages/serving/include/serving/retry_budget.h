#ifndef SESAMESADDLE_SERVING_RETRY_BUDGET_H_
#define SESAMESADDLE_SERVING_RETRY_BUDGET_H_

namespace sesamesaddle {

/**
 * Limits retries to a share of recent requests, so that retries do not amplify
 * an outage. Each request adds a fraction of a retry, up to kMaxBalance
 * retries.
 */
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxBalance = 10;

  void OnRequest();
  /** Returns whether a retry is allowed, and if so, takes it off the budget. */
  bool TryRetry();

 private:
  double balance_ = kMaxBalance;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_RETRY_BUDGET_H_
