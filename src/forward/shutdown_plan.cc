#include "src/forward/shutdown_plan.h"

#include <algorithm>

namespace wisteriareel {

ShutdownPlan::ShutdownPlan(const ShutdownPlanOptions& options)
    : options_(options) {}

void ShutdownPlan::Begin(absl::Time now) { began_ = std::min(began_, now); }

absl::Time ShutdownPlan::RequestsEnd() const {
  return began_ + options_.grace - options_.ending_time;
}

absl::Time ShutdownPlan::ExitEnd() const {
  return began_ + options_.grace - options_.kill_margin;
}

bool ShutdownPlan::Accepts(const ArrivingRequest& request,
                           absl::Time now) const {
  if (!IsDraining()) return true;
  if (IsClosing(now)) return false;
  return request.deadline <= RequestsEnd() ||
         (request.is_retryable && now - began_ < options_.open_time);
}

bool ShutdownPlan::IsClosing(absl::Time now) const {
  return now - began_ >= options_.balancer_notice || now >= RequestsEnd();
}

ShutdownStep ShutdownPlan::NextStep(const ShutdownProgress& progress,
                                    absl::Time now) const {
  if (!IsClosing(now)) return ShutdownStep::kServe;
  const bool is_busy = progress.has_requests || progress.has_output;
  if (!is_busy && !progress.has_tokens) return ShutdownStep::kExitClean;
  if (now >= RequestsEnd()) {
    const bool is_late = now >= ExitEnd() - options_.exit_time;
    return is_late || !is_busy ? ShutdownStep::kExit
                               : ShutdownStep::kEndRequests;
  }
  const bool returns_tokens =
      !progress.has_requests || now >= RequestsEnd() - options_.token_return;
  return returns_tokens ? ShutdownStep::kReturnTokens : ShutdownStep::kClose;
}

void ShutdownPlan::BeginExit(absl::Time now) {
  exit_began_ = std::min(exit_began_, now);
}

ExitStep ShutdownPlan::NextExitStep(const ShutdownProgress& progress,
                                    absl::Time now) const {
  if (now >= ExitEnd()) return ExitStep::kEnd;
  const bool is_busy = progress.has_requests || progress.has_output;
  return is_busy || now - exit_began_ < options_.unread_time ? ExitStep::kRefuse
                                                             : ExitStep::kEnd;
}

bool ShutdownPlan::ClosesIdle(const IdleConnection& connection,
                              absl::Time now) const {
  if (connection.has_unread) return false;
  if (connection.has_served) return IsClosing(now);
  return now - exit_began_ >= options_.unread_time;
}

}  // namespace wisteriareel
