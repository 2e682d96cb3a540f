#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "src/forward/exchange.h"

namespace wisteriareel {
namespace {

// Wait of a refused caller if there is no schedule.
constexpr absl::Duration kLimitedRetryAfter = absl::Milliseconds(500);

}  // namespace

void Exchange::RecordRateLimit(const ResponseInfo& info, absl::Time now) {
  // Another target's response says nothing about the expected one.
  if (info.wrong_target || info.has_malformed_rate_limit) return;
  if (!services_.pool->RecordRateLimit(placement_->target, info.rate_limit,
                                       sent_at_, now)) {
    return;
  }
  services_.log->Write(
      EventId::kTargetRateLimit, Severity::kInfo,
      "the rate limit of a target changed",
      {{"target", placement_->target.id.value()},
       {"per_second",
        info.rate_limit.has_value() ? absl::StrCat(*info.rate_limit) : "none"},
       {"request", request_.info.id.value()}});
}

std::optional<LimitedRequest> Exchange::GetLimitedRequest(
    absl::Time now) const {
  const std::optional<double> per_second =
      services_.pool->FindTotalRateLimit(request_.service, tried_, now);
  if (!per_second.has_value()) return std::nullopt;
  return LimitedRequest{.service = request_.service,
                        .customer = request_.customer,
                        .urgency = Urgency(),
                        .per_second = *per_second,
                        .time_left = Deadline() - now};
}

bool Exchange::LeavesShare(const LimitedRequest& limited,
                           absl::Time now) const {
  // A request that a target has got already isn't held up.
  return services_.limited_returns != nullptr && tried_.empty() &&
         services_.limited_returns->IsMoreUrgentDue(limited, now);
}

void Exchange::FailLimited(const LimitedRequest& limited, absl::Time now) {
  if (verdict_ != Verdict::kNotRun) {
    FailAttempt(Reason::kTargetLimited, now);
    return;
  }
  FailRequest(503, Reason::kTargetLimited,
              services_.limited_returns == nullptr
                  ? kLimitedRetryAfter
                  : services_.limited_returns->Schedule(limited, now),
              now);
}

}  // namespace wisteriareel
