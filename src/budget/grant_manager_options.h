#ifndef WISTERIAREEL_BUDGET_GRANT_MANAGER_OPTIONS_H_
#define WISTERIAREEL_BUDGET_GRANT_MANAGER_OPTIONS_H_

#include <cstddef>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

inline constexpr absl::Duration kDefaultGrantLease = absl::Hours(3);
inline constexpr absl::Duration kDefaultRenewInterval = absl::Minutes(2);
inline constexpr absl::Duration kDefaultReportInterval = absl::Minutes(1);
inline constexpr absl::Duration kDefaultPollInterval = absl::Seconds(2);
inline constexpr absl::Duration kDefaultBudgetTableTimeout = absl::Seconds(2);
inline constexpr absl::Duration kDefaultReserveTimeout = absl::Seconds(5);
inline constexpr double kDefaultClockRateMargin = 0.01;

// Options of a GrantManager.
struct GrantManagerOptions {
  // Id of this instance.
  InstanceId instance;
  // How long grants may be spent without access to the platform. Must exceed
  // the longest outage to be bridged by two renewal intervals.
  absl::Duration lease = kDefaultGrantLease;
  // Age at which the lease is renewed.
  absl::Duration renew_interval = kDefaultRenewInterval;
  // Interval at which persisted records are reported to the table as settled.
  absl::Duration report_interval = kDefaultReportInterval;
  // How often held budgets are read to return excess tokens.
  absl::Duration poll_interval = kDefaultPollInterval;
  // Timeout of one call of the table.
  absl::Duration table_timeout = kDefaultBudgetTableTimeout;
  // Max wait of a reservation for a grant; the request's deadline limits it
  // further.
  absl::Duration reserve_timeout = kDefaultReserveTimeout;
  // Max relative difference of the rates of two instances' clocks.
  double clock_rate_margin = kDefaultClockRateMargin;
  // Max number of budgets in one transaction.
  std::size_t max_budgets_per_transaction = 64;
  // Max number of budgets read in one poll.
  std::size_t max_budgets_per_poll = 256;
  // Number of hash buckets for accounts; a power of two.
  std::size_t account_buckets = 4096;
  // Number of instances that may draw on a budget, until SetHolders is called.
  int holders = 8;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_GRANT_MANAGER_OPTIONS_H_
