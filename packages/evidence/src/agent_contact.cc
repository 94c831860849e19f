#include "evidence/agent_contact.h"

#include <utility>

namespace sesamesaddle {

void AgentContact::OnRequest(TimePoint now, Duration attentive) {
  const bool retried = now - last_request_ >= kRetryDelay;
  last_request_ = now;
  if (unanswered_ == 0 || retried) {
    unanswered_since_ = attentive;
    unanswered_ = 0;
  } else if (attentive - last_counted_ < kReplyTimeout) {
    return;
  }
  ++unanswered_;
  last_counted_ = attentive;
}

std::optional<Duration> AgentContact::OnAnswer(Duration attentive) {
  instance_silent_since_.reset();
  refused_since_.reset();
  instance_probed_ = false;
  if (std::exchange(unanswered_, 0) == 0) return std::nullopt;
  return attentive - unanswered_since_;
}

void AgentContact::OnInstanceProbe(Duration attentive) {
  if (!instance_silent_since_) instance_silent_since_ = attentive;
  last_instance_probe_ = attentive;
  instance_probed_ = true;
}

void AgentContact::OnInstanceAnswer(InstanceAnswer answer, Duration attentive) {
  instance_silent_since_.reset();
  if (answer == InstanceAnswer::kAccepted) {
    refused_since_.reset();
  } else if (!refused_since_) {
    refused_since_ = attentive;
  }
}

bool AgentContact::InstanceProbeDue(TimePoint now, Duration attentive) const {
  return unanswered_ > 0 && now - last_request_ < kRetryDelay &&
         attentive - unanswered_since_ >= kReplyTimeout &&
         (!instance_probed_ ||
          attentive - last_instance_probe_ >= kReplyTimeout);
}

bool AgentContact::Silent(TimePoint now, Duration attentive,
                          Duration last_answer_of_any) const {
  return unanswered_ > 0 && attentive - unanswered_since_ > kSilenceTimeout &&
         now - last_request_ < kRetryDelay &&
         last_answer_of_any > unanswered_since_ + kSilenceTimeout / 2;
}

bool AgentContact::Unreachable(TimePoint now, Duration attentive,
                               Duration last_answer_of_any,
                               Duration answer_delay) const {
  if (!Silent(now, attentive, last_answer_of_any)) return false;
  if (attentive - unanswered_since_ <= kMinAnswerDelays * answer_delay) {
    return false;
  }
  const bool last_had_time = attentive - last_counted_ >= kReplyTimeout;
  if (unanswered_ - (last_had_time ? 0 : 1) < kMinUnansweredRequests) {
    return false;
  }
  return instance_silent_since_ &&
         attentive - *instance_silent_since_ >= kInstanceTimeout;
}

Duration AgentContact::RefusedFor(Duration attentive) const {
  return refused_since_ ? attentive - *refused_since_ : Duration::zero();
}

}  // namespace sesamesaddle
