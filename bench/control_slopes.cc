// Prints the measurements behind the control plane section of docs/CAPACITY.md.

#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "bench/control_load.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_table.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/lease_manager.h"

namespace wisteriareel {
namespace {

constexpr int kChanges = 2'000;
constexpr int kLookups = 1'000'000;
constexpr int kLeaseSeconds = 600;

double CpuSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return absl::ToDoubleSeconds(absl::DurationFromTimespec(ts));
}

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

void PrintFleet(const char* name, int zones, int per_zone, double changes) {
  ControlFleet fleet(zones, per_zone);
  fleet.Run(absl::Seconds(10));
  const double cpu_before = CpuSeconds();
  const ControlCounts counts =
      RunControlLoad(&fleet, absl::Seconds(60), changes);
  const double n = zones * per_zone;
  const double cpu = (CpuSeconds() - cpu_before) / counts.seconds / n * 100;
  std::printf(
      "%-9s %4d in %2d zones, %.2f changes/s: sent %5.0f B/s mean %5.0f max, "
      "received %5.0f max, %5.1f messages/s, CPU %.3f%%, table %6.1f rows/s, "
      "slowest rollout %s\n",
      name, zones * per_zone, zones, changes, counts.mean_sent_bytes,
      counts.max_sent_bytes, counts.max_received_bytes, counts.mean_messages,
      cpu, counts.table_rows,
      absl::FormatDuration(counts.slowest_rollout).c_str());
}

std::vector<VersionedEntry> TargetEntries() {
  std::vector<VersionedEntry> entries;
  const Revision version(1);
  entries.reserve(kTargetCustomers + 2 * kTargetBudgets + kTargetPools +
                  kTargetTargets);
  for (int i = 0; i < kTargetCustomers; ++i) {
    entries.push_back({TestCustomer(i), version});
  }
  for (int i = 0; i < kTargetBudgets; ++i) {
    const BudgetId budget(absl::StrCat("budget-", i));
    const CustomerId customer = TestCustomer(i % kTargetCustomers).id;
    entries.push_back({Budget{.id = budget, .customer = customer}, version});
    const std::string hash(
        absl::StrCat(absl::Dec(i, absl::kZeroPad16), std::string(48, 'a')));
    entries.push_back(
        {ApiKey{.hash = hash, .customer = customer, .budget = budget},
         version});
  }
  for (int i = 0; i < kTargetPools; ++i) {
    entries.push_back({Pool{.id = PoolId(absl::StrCat("pool-", i)),
                            .models = {ModelName(absl::StrCat("model-", i))}},
                       version});
  }
  for (int i = 0; i < kTargetTargets; ++i) {
    entries.push_back(
        {Target{.id = TargetId(absl::StrCat("target-", i)),
                .pool = PoolId(absl::StrCat("pool-", i % kTargetPools)),
                .region = RegionId("region-1"),
                .zone = ZoneId("zone-1"),
                .endpoint = {"10.1.2.3", 8000}},
         version});
  }
  return entries;
}

void PrintSnapshot() {
  const auto entries = TargetEntries();
  const double heap_before = HeapMegabytes();
  double cpu = CpuSeconds();
  auto snapshot = ImmutableConfigSnapshot::Build(Revision(1), entries);
  std::printf("snapshot  %zu entries: %.1f MB, built in %.0f ms of CPU\n",
              snapshot->size(), HeapMegabytes() - heap_before,
              (CpuSeconds() - cpu) * 1e3);
  std::uint64_t digest = snapshot->digest();
  cpu = CpuSeconds();
  const auto first = snapshot;
  const double heap_one = HeapMegabytes();
  for (int i = 0; i < kChanges; ++i) {
    Target target = *snapshot->FindTarget(TargetId(absl::StrCat("target-", i)));
    target.draining = true;
    const ConfigKey key = KeyOf(target);
    digest ^= EntryDigest(key, snapshot->FindEntry(key)->version);
    digest ^= EntryDigest(key, snapshot->revision().Next());
    snapshot = snapshot->Apply({.revision = snapshot->revision().Next(),
                                .changes = {{key, target}},
                                .digest = digest});
  }
  std::printf(
      "snapshot  change of a target: %.1f us of CPU; %d changes stored beside "
      "the first copy: %.1f MB\n",
      (CpuSeconds() - cpu) / kChanges * 1e6, kChanges,
      HeapMegabytes() - heap_one);
  std::size_t found = 0;
  cpu = CpuSeconds();
  for (int i = 0; i < kLookups; ++i) {
    const std::string& id =
        std::get<Budget>(
            entries[kTargetCustomers + 2 * (i * 7919LL % kTargetBudgets)].value)
            .id.value();
    if (snapshot->FindBudget(BudgetId(id)) != nullptr) ++found;
  }
  std::printf("snapshot  lookup: %.0f ns of CPU (%zu found)\n",
              (CpuSeconds() - cpu) / kLookups * 1e9, found);
}

// Fills the table with a configuration of the target size, in orders of up to
// 500 changes.
void FillTable(ControlFleet* fleet) {
  TableConfigStore store({.clock = &fleet->clock, .table = &fleet->table});
  ChangeOrder order{.operator_name = "bench"};
  int number = 0;
  const auto flush = [&] {
    order.order = OrderId(absl::StrCat("fill-", number++));
    LastReason reason;
    store.Apply(order, kTestTimeout, &reason);
    order.changes.clear();
  };
  for (const VersionedEntry& entry : TargetEntries()) {
    order.changes.push_back({KeyOf(entry.value), entry.value, std::nullopt});
    if (order.changes.size() == 500) flush();
  }
  flush();
}

void PrintRestart() {
  ControlFleet fleet(1, 4);
  FillTable(&fleet);
  fleet.Run(absl::Seconds(10));
  const auto print = [&](const char* from, std::size_t index) {
    fleet.Restart(index);
    const double cpu = CpuSeconds();
    const absl::Time start = fleet.clock.Now();
    const std::uint64_t bytes =
        fleet.network.ReceivedBy(fleet.instances[index]->id).bytes;
    while (fleet.instances[index]->config.origin() == ConfigOrigin::kNone) {
      fleet.Tick();
    }
    std::printf(
        "restart   from %s: %.2f s of CPU in the whole process, %s of steps, "
        "%llu rows read, %.1f MB received\n",
        from, CpuSeconds() - cpu,
        absl::FormatDuration(fleet.clock.Now() - start).c_str(),
        static_cast<unsigned long long>(
            fleet.instances[index]->link.rows_read()),
        static_cast<double>(
            fleet.network.ReceivedBy(fleet.instances[index]->id).bytes -
            bytes) /
            1e6);
  };
  print("a peer", 1);
  fleet.table.SetFaults({.outage = true});
  print("a peer, platform unavailable", 2);
  fleet.table.SetFaults({});
  fleet.network.SetLinks(
      [](const InstanceId&, const InstanceId&) { return false; });
  print("the platform, no peer responds", 3);
}

void PrintLease() {
  ManualClock clock;
  MemoryTable table;
  const auto random = MakeSeededRandom(1);
  struct Candidate {
    std::unique_ptr<LeaseManager> manager;
    absl::Time next;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(kTargetZones);
  for (int i = 0; i < kTargetZones; ++i) {
    candidates.push_back(
        {std::make_unique<LeaseManager>(LeaseManager::Options{
             .task = "duty",
             .self = InstanceId(absl::StrCat("i", i)),
             .clock = &clock,
             .table = &table,
             .random = random.get(),
             .rank = [i] { return static_cast<std::size_t>(i); }}),
         clock.Now()});
  }
  for (int second = 0; second < kLeaseSeconds; ++second) {
    for (Candidate& candidate : candidates) {
      if (clock.Now() < candidate.next) continue;
      candidate.next = clock.Now() + candidate.manager->Step();
    }
    clock.Advance(absl::Seconds(1));
  }
  std::printf(
      "lease     one singleton task, %d candidates: %.2f reads/s, %.2f "
      "writes/s\n",
      kTargetZones, static_cast<double>(table.reads()) / kLeaseSeconds,
      static_cast<double>(table.commits()) / kLeaseSeconds);
}

void PrintAll() {
  PrintFleet("fleet", 1, 8, 0);
  PrintFleet("fleet", 2, 16, 0);
  PrintFleet("fleet", 7, 18, 0);
  PrintFleet("fleet", 27, 19, 0);
  PrintFleet("one zone", 1, 32, 0);
  PrintFleet("one zone", 1, 128, 0);
  PrintFleet("today", 4, 2, 0.01);
  PrintFleet("target", kTargetZones, kTargetPerZone, kTargetChangesPerSecond);
  PrintFleet("target", kTargetZones, kTargetPerZone,
             10 * kTargetChangesPerSecond);
  PrintSnapshot();
  PrintRestart();
  PrintLease();
}

}  // namespace
}  // namespace wisteriareel

int main() {
  wisteriareel::PrintAll();
  return 0;
}
