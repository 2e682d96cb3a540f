#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "absl/strings/str_cat.h"
#include "benchmark/benchmark.h"
#include "src/budget/grant_manager.h"
#include "src/budget/journal_writer.h"
#include "src/budget/request_id_generator.h"
#include "src/budget/table_budget_admin.h"
#include "standin/fakes/memory_object_store.h"
#include "standin/fakes/memory_table.h"

namespace wisteriareel {
namespace {

// Amounts in tokens.
constexpr std::int64_t kTopUp = 1'000'000'000'000;
constexpr std::int64_t kWorstCase = 2'000;
constexpr std::int64_t kBilled = 700;

// Discards records, so that the benchmark measures only the budget manager.
class DiscardingJournal final : public RecordJournal {
 public:
  void Append(const RequestRecord&) override {}
};

// A GrantManager that holds grants of `budgets` budgets, each large enough for
// any run. Writes a journal if `journaled`.
class BenchmarkFixture {
 public:
  BenchmarkFixture(int budgets, bool journaled) {
    GrantManagerOptions options{.instance = InstanceId("i1")};
    options.account_buckets = 65536;
    options.holders = 1;
    if (journaled) {
      journal_ = std::make_unique<JournalWriter>(
          JournalWriterOptions{.instance = options.instance,
                               .max_records = SIZE_MAX},
          &store_, SystemClock(), random_.get());
    } else {
      journal_ = std::make_unique<DiscardingJournal>();
    }
    manager_ = std::make_unique<GrantManager>(
        options, GrantManagerDependencies{.table = &table_,
                                          .policy = policy_.get(),
                                          .journal = journal_.get(),
                                          .clock = SystemClock(),
                                          .random = random_.get()});
    TableBudgetAdmin admin({}, &table_, SystemClock());
    LastReason reason;
    for (int i = 0; i < budgets; ++i) {
      ids_.emplace_back(absl::StrCat("budget-", i));
      admin.TopUp(ids_.back(), OrderId("o"), Tokens(kTopUp), "op",
                  absl::Seconds(1), &reason);
      manager_->Reserve(ids_.back(), RequestId("r"), Tokens(kWorstCase),
                        absl::InfinitePast(), &reason);
    }
    // Obtains the grants.
    while (manager_->Step() == absl::ZeroDuration()) {
    }
  }

  GrantManager& manager() { return *manager_; }
  const BudgetId& id(std::size_t n) const { return ids_[n % ids_.size()]; }

 private:
  MemoryTable table_;
  MemoryObjectStore store_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::unique_ptr<SizingPolicy> policy_ = MakeFixedSizing(Tokens(kTopUp / 2));
  std::unique_ptr<RecordJournal> journal_;
  std::unique_ptr<GrantManager> manager_;
  std::vector<BudgetId> ids_;
};

// Returns the fixture that all threads and runs with the same arguments share.
BenchmarkFixture& SharedFixture(int budgets, bool journaled) {
  static std::mutex mutex;
  static std::map<int, std::unique_ptr<BenchmarkFixture>> without_journal;
  static std::map<int, std::unique_ptr<BenchmarkFixture>> with_journal;
  std::lock_guard<std::mutex> lock(mutex);
  auto& fixture = journaled ? with_journal[budgets] : without_journal[budgets];
  if (!fixture) {
    fixture = std::make_unique<BenchmarkFixture>(budgets, journaled);
  }
  return *fixture;
}

// Reserves and settles tokens of different budgets, or of only one budget if
// `single_budget`.
void RunReserveSettle(benchmark::State& state, bool single_budget,
                      bool journaled) {
  BenchmarkFixture& fixture =
      SharedFixture(static_cast<int>(state.range(0)), journaled);
  const RequestId request("i1-18f2a3b4c5d-1f");
  const RequestRecord record{.request = request,
                             .billed = Tokens(kBilled),
                             .started = SystemClock()->Now(),
                             .finished = SystemClock()->Now()};
  LastReason reason;
  auto n = static_cast<std::size_t>(state.thread_index()) * 7919;
  std::int64_t refused = 0;
  for (auto _ : state) {
    const BudgetId& id = fixture.id(single_budget ? 0 : n);
    n += 13;
    const auto reservation = fixture.manager().Reserve(
        id, request, Tokens(kWorstCase), absl::InfinitePast(), &reason);
    if (!reservation) {
      ++refused;
      continue;
    }
    fixture.manager().Settle(*reservation, record);
  }
  state.counters["refused"] = static_cast<double>(refused);
  state.SetItemsProcessed(state.iterations());
}

void ReserveSettle(benchmark::State& state) {
  RunReserveSettle(state, /*single_budget=*/false, /*journaled=*/false);
}
void ReserveSettleHot(benchmark::State& state) {
  RunReserveSettle(state, /*single_budget=*/true, /*journaled=*/false);
}
void ReserveSettleJournaled(benchmark::State& state) {
  RunReserveSettle(state, /*single_budget=*/false, /*journaled=*/true);
}

BENCHMARK(ReserveSettle)
    ->Arg(10)
    ->Arg(1'000)
    ->Arg(32'000)
    ->Threads(1)
    ->Threads(8)
    ->UseRealTime();
BENCHMARK(ReserveSettleHot)->Arg(32'000)->Threads(1)->Threads(8)->UseRealTime();
BENCHMARK(ReserveSettleJournaled)
    ->Arg(1'000)
    ->Threads(1)
    ->Threads(8)
    ->Iterations(100'000)
    ->UseRealTime();

}  // namespace
}  // namespace wisteriareel

BENCHMARK_MAIN();
