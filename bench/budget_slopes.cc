// Measures how the table writes, objects and bytes of the budget code grow with
// the numbers of instances and budgets and with the request rate.
// Usage: budget_slopes
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/budget/budget_account.h"
#include "test/budget_fleet.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);
constexpr int kWarmUpSeconds = 1800;
constexpr int kMeasuredSeconds = 1800;
constexpr std::int64_t kWorstCase = 4'000;
constexpr std::int64_t kBilled = 1'500;

// Parameters of one measurement.
struct Parameters {
  int instances = 4;
  int budgets = 100;
  // Rate per instance.
  int requests_per_second = 4;
  // Uses the options for a large fleet.
  bool large = false;
};

// Results of one measurement.
struct Measurement {
  std::uint64_t transactions = 0;
  std::uint64_t rows = 0;
  std::uint64_t objects = 0;
  std::uint64_t refused = 0;
};

class Simulation {
 public:
  explicit Simulation(const Parameters& parameters) : parameters_(parameters) {
    GrantManagerOptions options;
    options.holders = parameters.instances;
    options.account_buckets = 1024;
    if (parameters.large) {
      options.report_interval = absl::Minutes(10);
      options.poll_interval = absl::Seconds(10);
      options.max_budgets_per_transaction = 512;
      options.max_budgets_per_poll = 512;
    }
    for (int i = 0; i < parameters.instances; ++i) {
      options.instance = InstanceId(absl::StrCat("i", i));
      links_.push_back(std::make_unique<PlatformLink>(&table_, &store_));
      processes_.push_back(std::make_unique<BudgetProcess>(
          options, links_.back().get(), policy_.get(), &clock_, random_.get()));
    }
    TableBudgetAdmin admin({.stripes = 1}, &table_, &clock_);
    LastReason reason;
    for (int i = 0; i < parameters.budgets; ++i) {
      admin.TopUp(Id(i), OrderId("o"), Tokens(1'000'000'000), "op", kTimeout,
                  &reason);
    }
  }

  Measurement Count() {
    Simulate(kWarmUpSeconds);
    const Measurement before = Read();
    Simulate(kMeasuredSeconds);
    const Measurement after = Read();
    return Measurement{.transactions = after.transactions - before.transactions,
                       .rows = after.rows - before.rows,
                       .objects = after.objects - before.objects,
                       .refused = refused_};
  }

  // Returns the size of the key and value of one grant row in bytes.
  std::size_t GrantRowBytes() {
    LastReason reason;
    const auto rows = table_.Scan(kGrantTable, "", 1, kTimeout, &reason);
    return rows->front().key.key.size() + rows->front().value.size();
  }

 private:
  static BudgetId Id(int n) { return BudgetId(absl::StrCat("b", n)); }

  void Simulate(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      clock_.Advance(absl::Seconds(1));
      ++now_;
      for (const auto& process : processes_) StepSecond(process.get());
    }
  }

  void StepSecond(BudgetProcess* process) {
    for (int i = 0; i < parameters_.requests_per_second; ++i) Request(process);
    if (now_ % (parameters_.large ? 20 : 5) == 0) process->journal.Step();
    if (now_ % (parameters_.large ? 10 : 2) != 0) return;
    while (process->manager.Step() == absl::ZeroDuration()) {
    }
  }

  void Request(BudgetProcess* process) {
    const BudgetId budget = Id(static_cast<int>(
        random_->Below(static_cast<std::uint64_t>(parameters_.budgets))));
    const RequestId request = ids_.Next();
    LastReason reason;
    for (int tries = 0; tries < 3; ++tries) {
      const auto reservation = process->manager.Reserve(
          budget, request, Tokens(kWorstCase), absl::InfinitePast(), &reason);
      if (!reservation) {
        process->manager.Step();
        continue;
      }
      process->manager.Settle(*reservation,
                              RequestRecord{.request = request,
                                            .billed = Tokens(kBilled),
                                            .started = clock_.Now(),
                                            .finished = clock_.Now()});
      return;
    }
    ++refused_;
  }

  Measurement Read() {
    Measurement measurement;
    for (const auto& link : links_) {
      measurement.transactions += link->transactions;
      measurement.rows += link->rows_written;
      measurement.objects += link->objects_written;
    }
    return measurement;
  }

  const Parameters parameters_;
  ManualClock clock_;
  MemoryTable table_;
  MemoryObjectStore store_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(3);
  std::unique_ptr<SizingPolicy> policy_ = MakeHorizonSizing({});
  RequestIdGenerator ids_{InstanceId("ids"), &clock_, random_.get()};
  std::vector<std::unique_ptr<PlatformLink>> links_;
  std::vector<std::unique_ptr<BudgetProcess>> processes_;
  std::uint64_t refused_ = 0;
  int now_ = 0;
};

void Print(const Parameters& parameters) {
  Simulation run(parameters);
  const Measurement measurement = run.Count();
  const double each = 1.0 / kMeasuredSeconds / parameters.instances;
  std::printf("| %d | %d | %d | %.4f | %.3f | %.4f | %llu | %zu |\n",
              parameters.instances, parameters.budgets,
              parameters.requests_per_second,
              static_cast<double>(measurement.transactions) * each,
              static_cast<double>(measurement.rows) * each,
              static_cast<double>(measurement.objects) * each,
              static_cast<unsigned long long>(measurement.refused),
              run.GrantRowBytes());
}

void Main() {
  std::printf(
      "| instances | budgets | requests/s each | transactions/s each | rows/s "
      "each | objects/s each | refused | bytes of a grant row |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const int n : {2, 4, 8, 16}) Print({.instances = n});
  for (const int n : {10, 400, 1'600}) Print({.budgets = n});
  for (const int n : {1, 16, 60}) Print({.requests_per_second = n});
  for (const int n : {100, 400, 1'600}) {
    Print({.budgets = n, .requests_per_second = 60, .large = true});
  }
  std::printf("account in memory: %zu bytes\n", sizeof(BudgetAccount));
}

}  // namespace
}  // namespace wisteriareel

int main() { wisteriareel::Main(); }
