// Measures CPU time and memory of the request path, with fakes that respond at
// once.

#include <malloc.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "benchmark/benchmark.h"
#include "src/request/response_relay.h"
#include "src/request/row_batcher.h"
#include "standin/fakes/memory_table.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(30);
constexpr int kRefreshZones = 28;
constexpr int kClaimsPerThread = 10;

// Accepts all data and discards it.
class NullWriter final : public ResponseWriter {
 public:
  bool WriteHead(int, std::string_view) override { return true; }
  bool WriteData(std::string_view bytes) override {
    benchmark::DoNotOptimize(bytes.data());
    return true;
  }
  bool Finish() override { return true; }
  bool CallerDisconnected() const override { return false; }
};

void BmPlainChat(benchmark::State& state) {
  RequestFleet fleet;
  CallerRequest request = ChatCall("r", "m", false);
  NullWriter writer;
  std::uint64_t n = 0;
  for (auto _ : state) {
    request.prefix_hash = ++n % 1'000;
    benchmark::DoNotOptimize(fleet.service().Handle(request, &writer));
  }
}
BENCHMARK(BmPlainChat);

void BmClaimedCall(benchmark::State& state) {
  RequestFleet fleet;
  NullWriter writer;
  std::uint64_t n = 0;
  for (auto _ : state) {
    const std::string id = absl::StrCat(++n);
    benchmark::DoNotOptimize(
        fleet.service().Handle(ServiceCall(id, id, "/records/issue"), &writer));
  }
}
BENCHMARK(BmClaimedCall);

void BmStreamEvent(benchmark::State& state) {
  NullWriter writer;
  ResponseRelay relay({.chat = true, .streamed = true}, &writer);
  ResponseSink* sink = relay.BeginAttempt();
  sink->OnHead(200, "text/event-stream");
  const std::string event =
      "data: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":"
      "[{\"index\":0,\"delta\":{\"content\":\" felling\"}}]}\n\n";
  std::uint64_t position = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(sink->OnData(position++, event));
  }
}
BENCHMARK(BmStreamEvent);

void BmPick(benchmark::State& state) {
  auto config = std::make_shared<StaticSnapshot>();
  config->Add(Pool{.id = PoolId("p")});
  for (int i = 0; i < state.range(0); ++i) {
    config->Add(Target{.id = TargetId(absl::StrCat("t", i)),
                       .pool = PoolId("p"),
                       .zone = ZoneId("z")});
  }
  config->IndexTargets();
  StaticConfig view(config);
  const auto random = MakeSeededRandom(1);
  FleetSelector selector({.instance = InstanceId("i"),
                          .zone = ZoneId("z"),
                          .config = &view,
                          .random = random.get()});
  LastReason reason;
  const absl::Time now = SystemClock()->Now();
  std::uint64_t prefix = 0;
  for (auto _ : state) {
    const auto picked = selector.Pick(
        {.pool = PoolId("p"), .prefix_hash = 1 + ++prefix % 1'000}, now,
        &reason);
    selector.FinishAttempt(PoolId("p"), {.target = picked->id}, now);
  }
}
BENCHMARK(BmPick)->Arg(12)->Arg(64)->Arg(430);

void BmRefresh(benchmark::State& state) {
  auto config = std::make_shared<StaticSnapshot>();
  config->Add(Pool{.id = PoolId("p")});

  for (int i = 0; i < state.range(0); ++i) {
    config->Add(Target{.id = TargetId(absl::StrCat("t", i)),
                       .pool = PoolId("p"),
                       .zone = ZoneId(absl::StrCat("z", i % kRefreshZones))});
  }
  config->IndexTargets();
  StaticConfig view(config);
  const auto random = MakeSeededRandom(1);
  SteppingClock clock;
  FleetSelector selector({.instance = InstanceId("i"),
                          .zone = ZoneId("z0"),
                          .config = &view,
                          .clock = &clock,
                          .random = random.get()});
  for (auto _ : state) {
    clock.Advance(absl::Seconds(3));
    selector.Refresh();
  }
}
BENCHMARK(BmRefresh)->Arg(12'000)->Unit(benchmark::kMicrosecond);

// A MemoryTable with a delay for each call.
class SlowTable final : public TableService {
 public:
  MemoryTable& memory() { return memory_; }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return memory_.Commit(transaction, timeout);
  }
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return memory_.Read(keys, timeout, reason);
  }
  std::optional<std::vector<Row>> Scan(const std::string&, const std::string&,
                                       int, absl::Duration,
                                       LastReason*) override {
    return std::nullopt;
  }

 private:
  MemoryTable memory_;
};

// Many threads claim concurrently, with up to `max_batch` changes per
// transaction.
void BmClaims(benchmark::State& state) {
  const auto threads = static_cast<int>(state.range(0));
  const auto max_batch = static_cast<std::size_t>(state.range(1));

  std::uint64_t claims = 0;
  std::uint64_t commits = 0;
  std::atomic<std::int64_t> waited_nanos = 0;
  for (auto _ : state) {
    SlowTable table;
    RowBatcher batcher({.table = &table, .max_batch = max_batch});
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int i = 0; i < threads; ++i) {
      callers.emplace_back([&, i] {
        for (int n = 0; n < kClaimsPerThread; ++n) {
          const std::string key = absl::StrCat(i, "-", n);
          const absl::Time started = absl::Now();
          batcher.Apply({.key = {"t", key}, .value = key}, kTimeout);
          waited_nanos += absl::ToInt64Nanoseconds(absl::Now() - started);
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    claims += static_cast<std::uint64_t>(threads) * kClaimsPerThread;
    commits += table.memory().commits();
  }
  const auto total = static_cast<double>(claims);
  state.counters["claims_per_commit"] = total / static_cast<double>(commits);
  state.counters["mean_wait_ms"] =
      static_cast<double>(waited_nanos) / total / 1e6;
  state.counters["claims_per_s"] =
      benchmark::Counter(total, benchmark::Counter::kIsRate);
}
BENCHMARK(BmClaims)
    ->Args({1, 128})
    ->Args({16, 1})
    ->Args({16, 128})
    ->Args({128, 128})
    ->Iterations(3)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

// Sends the first events of a response, then blocks until Open is called.
class BlockingClient final : public TargetClient {
 public:
  TargetOutcome Send(const TargetCall&, ResponseSink* sink,
                     const std::atomic<bool>&) override {
    sink->OnHead(200, "text/event-stream");
    for (std::uint64_t i = 0; i < 20; ++i) {
      sink->OnData(i, "data: {\"choices\":[{\"delta\":{}}]}\n\n");
    }
    ++blocked_;
    open_.wait(false);
    return {.verdict = Verdict::kRan, .status = 200, .complete = true};
  }
  void Cancel(const TargetCall&) override {}

  int blocked() const { return blocked_; }
  void Open() {
    open_ = true;
    open_.notify_all();
  }

 private:
  std::atomic<int> blocked_ = 0;
  std::atomic<bool> open_ = false;
};

// Heap of one open stream with a prompt of 4 KiB, excluding the stack of its
// thread and the buffers of the HTTP server and client.
void BmOpenStreamHeap(benchmark::State& state) {
  const auto streams = static_cast<int>(state.range(0));
  for (auto _ : state) {
    StaticConfig config(MakeRequestConfig());
    const auto random = MakeSeededRandom(1);
    FakeBudgetManager budget(Tokens(1'000'000'000));
    BlockingClient targets;
    FleetSelector selector({.instance = InstanceId("i"),
                            .zone = ZoneId("z1"),
                            .config = &config,
                            .random = random.get()});
    RequestService service({.config = &config,
                            .budget = &budget,
                            .journal = &budget,
                            .targets = &targets,
                            .selector = &selector,
                            .random = random.get()});
    CallerRequest request = ChatCall("r", "m", true);
    request.body = absl::StrCat("{\"temperature\":0,\"prompt\":\"",
                                std::string(4'096, 'x'), "\"}");
    std::vector<std::thread> callers;
    callers.reserve(streams);
    const std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < streams; ++i) {
      callers.emplace_back([&] {
        NullWriter writer;
        service.Handle(request, &writer);
      });
    }
    // The pool has three targets with 64 slots each. Requests beyond that are
    // refused and not counted.
    while (targets.blocked() < std::min(streams, 192)) {
      std::this_thread::yield();
    }
    state.counters["heap_bytes_per_stream"] =
        static_cast<double>(mallinfo2().uordblks - before) / targets.blocked();
    targets.Open();
    for (std::thread& caller : callers) caller.join();
  }
}
BENCHMARK(BmOpenStreamHeap)->Arg(100)->Iterations(1);

}  // namespace
}  // namespace wisteriareel

BENCHMARK_MAIN();
