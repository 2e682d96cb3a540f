#ifndef WISTERIAREEL_BENCH_CONTROL_LOAD_H_
#define WISTERIAREEL_BENCH_CONTROL_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "test/config_test_support.h"
#include "test/control_fleet.h"

namespace wisteriareel {

// Fleet and configuration sizes of the stated two-year target.
inline constexpr int kTargetZones = 28;
// 540 instances over 28 zones, rounded up.
inline constexpr int kTargetPerZone = 20;
inline constexpr int kTargetTargets = 12'000;
inline constexpr int kTargetBudgets = 32'000;
inline constexpr int kTargetCustomers = 13'000;
inline constexpr int kTargetPools = 70;
inline constexpr double kTargetChangesPerSecond = 38'000 / 86'400.0;
// Limits of the stated target. Traffic is per instance and direction. The
// control plane may use half of the platform's 2,000 reads and 300 writes per
// second.
inline constexpr double kBytesPerSecondLimit = 3'000;
inline constexpr double kTableReadsPerSecondLimit = 1'000;
inline constexpr double kTableWritesPerSecondLimit = 150;

// Traffic and table reads of a fleet during a run. Bytes, messages and rows are
// per second; bytes and messages are also per instance.
struct ControlCounts {
  double seconds = 0;
  double mean_sent_bytes = 0;
  double max_sent_bytes = 0;
  double mean_messages = 0;
  double max_received_bytes = 0;
  double table_rows = 0;
  // Longest time from the acceptance of a change until all instances had it in
  // force; infinite if a change didn't reach all of them within a minute after
  // the run.
  absl::Duration slowest_rollout;
};

// Runs `fleet` for `duration` and submits `changes_per_second` change orders.
inline ControlCounts RunControlLoad(ControlFleet* fleet,
                                    absl::Duration duration,
                                    double changes_per_second) {
  struct PendingChange {
    Revision revision;
    absl::Time accepted;
  };
  ControlCounts counts;
  std::vector<PendingChange> pending;
  fleet->network.ResetTraffic();
  std::uint64_t rows_before = 0;
  for (const auto& instance : fleet->instances) {
    rows_before += instance->link.rows_read();
  }
  const absl::Time start = fleet->clock.Now();
  double due = 0;
  int accepted = 0;
  while (fleet->clock.Now() < start + duration || !pending.empty()) {
    const absl::Duration elapsed = fleet->clock.Now() - start;
    if (elapsed > duration + absl::Minutes(1)) break;
    due =
        absl::ToDoubleSeconds(std::min(elapsed, duration)) * changes_per_second;
    for (; accepted < due; ++accepted) {
      LastReason reason;
      const auto order = PutOrder(
          absl::StrCat("load-", absl::ToUnixMillis(start), "-", accepted),
          TestCustomer(accepted % 100,
                       static_cast<std::uint32_t>(accepted + 1)));
      const std::size_t index =
          static_cast<std::size_t>(accepted) * 7 % fleet->instances.size();
      const auto response =
          fleet->instances[index]->store.Apply(order, kTestTimeout, &reason);
      if (response) pending.push_back({response->revision, fleet->clock.Now()});
    }
    fleet->Tick();
    Revision lowest(UINT64_MAX);
    for (const auto& instance : fleet->instances) {
      lowest = std::min(lowest, instance->revision());
    }
    std::erase_if(pending, [&](const PendingChange& change) {
      if (change.revision > lowest) return false;
      counts.slowest_rollout = std::max(counts.slowest_rollout,
                                        fleet->clock.Now() - change.accepted);
      return true;
    });
  }
  if (!pending.empty()) counts.slowest_rollout = absl::InfiniteDuration();
  counts.seconds = absl::ToDoubleSeconds(fleet->clock.Now() - start);
  const double n = static_cast<double>(fleet->instances.size());
  for (const auto& instance : fleet->instances) {
    const PeerTraffic sent = fleet->network.SentBy(instance->id);
    const PeerTraffic received = fleet->network.ReceivedBy(instance->id);
    const double sent_bytes = static_cast<double>(sent.bytes) / counts.seconds;
    const double received_bytes =
        static_cast<double>(received.bytes) / counts.seconds;
    counts.mean_sent_bytes += sent_bytes / n;
    counts.max_sent_bytes = std::max(counts.max_sent_bytes, sent_bytes);
    counts.max_received_bytes =
        std::max(counts.max_received_bytes, received_bytes);
    counts.mean_messages +=
        static_cast<double>(sent.messages) / counts.seconds / n;
    counts.table_rows += static_cast<double>(instance->link.rows_read());
  }
  counts.table_rows =
      (counts.table_rows - static_cast<double>(rows_before)) / counts.seconds;
  return counts;
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_CONTROL_LOAD_H_
