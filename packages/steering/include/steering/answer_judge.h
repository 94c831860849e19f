#ifndef SESAMESADDLE_STEERING_ANSWER_JUDGE_H_
#define SESAMESADDLE_STEERING_ANSWER_JUDGE_H_

#include <cstddef>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Whether a target serves the requests that it gets, from what passes of its
 * answers; their bytes are not read. A target that fails requests without
 * working on them answers sooner and shorter than it used to, or breaks flows
 * off, whatever its health check says.
 */
class AnswerJudge {
 public:
  /** Share of recent requests that failed from which a target is failing. */
  static constexpr double kFailingShare = 0.5;
  /** Share below which it serves again. */
  static constexpr double kServingShare = 0.25;
  /** Answers of a route after which what is usual there is known. */
  static constexpr int kLearned = 8;
  /** So many unusual answers in a row are what is usual from then on. */
  static constexpr int kRelearned = 200;

  /**
   * The first packet of an answer came.
   * @param route  the address that the request was sent to
   * @param took   time from the request's first packet
   * @param bytes  payload of that packet
   */
  void OnAnswer(const Endpoint& route, Duration took, size_t bytes);
  /** The target reset a flow instead of answering. */
  void OnBrokenOff();
  /** Another target has taken the place of the one judged. */
  void OnOtherTarget();

  bool failing() const { return failing_; }
  /** Moving average over requests; newer ones weigh more. */
  double failed_share() const { return failed_share_; }

 private:
  /** Answers of one route. */
  struct Usual {
    int answers = 0;
    int unusual_in_row = 0;
    double took_us = 0;
    double bytes = 0;
  };

  void Count(bool failed);

  std::unordered_map<Endpoint, Usual> usual_;
  double failed_share_ = 0;
  bool failing_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_ANSWER_JUDGE_H_
