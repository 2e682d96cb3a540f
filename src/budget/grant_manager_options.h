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
  // This instance.
  InstanceId instance;
  // How long its grants may be spent without the platform; longer than the
  // longest outage to be ridden out by two renewals.
  absl::Duration lease = kDefaultGrantLease;
  // Age at which the lease is renewed.
  absl::Duration renew_interval = kDefaultRenewInterval;
  // Age at which kept records are reported to the table as settled.
  absl::Duration report_interval = kDefaultReportInterval;
  // How often the pools of held budgets are read, to return what is too much.
  absl::Duration poll_interval = kDefaultPollInterval;
  // Longest wait for one call of the table.
  absl::Duration table_timeout = kDefaultBudgetTableTimeout;
  // Longest wait of a reservation for a grant, inside its deadline.
  absl::Duration reserve_timeout = kDefaultReserveTimeout;
  // By what part two instances' clocks may differ in rate.
  double clock_rate_margin = kDefaultClockRateMargin;
  // Most budgets in one transaction.
  std::size_t max_budgets_per_transaction = 64;
  // Most budgets whose pools are read in one poll.
  std::size_t max_budgets_per_poll = 256;
  // Size of the table of accounts; a power of two.
  std::size_t account_buckets = 4096;
  // Instances that may draw on a budget, until SetHolders.
  int holders = 8;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_GRANT_MANAGER_OPTIONS_H_
