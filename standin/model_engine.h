#ifndef WISTERIAREEL_STANDIN_MODEL_ENGINE_H_
#define WISTERIAREEL_STANDIN_MODEL_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "standin/engine_state.h"
#include "standin/engine_text.h"
#include "standin/standin_listener.h"

namespace wisteriareel {

struct ModelEngineOptions {
  std::set<std::string> models = {"small"};
  // Time between consecutive tokens of a sequence.
  absl::Duration token_interval = absl::Milliseconds(5);
  // Prefill time per 1,000 prompt tokens; applies if the prompt's prefix isn't
  // in the prefix cache.
  absl::Duration prefill_per_thousand = absl::Milliseconds(10);
  // Maximum number of sequences generated at once; further ones wait.
  int max_batch = 256;
  // Capacity of the prefix cache.
  std::size_t cache_entries = 64;
  // Adds "sent_us", the Unix time of sending in microseconds, to each event.
  bool stamp_events = false;
  // Refuses orders whose fencing number is below the highest one seen.
  bool checks_fencing = true;
};

// A model engine behind HTTP that responds with EngineText. Paths:
//   POST   /v1/chat/completions   X-Resume-Offset skips events
//   DELETE /v1/requests/ID        cancels the request with that X-Request-Id
//   GET    /v1/load, /v1/state, /v1/cache_events?after=N
//   POST   /v1/orders
// Thread-safe.
class ModelEngine final : public StandinListener {
 public:
  explicit ModelEngine(ModelEngineOptions options);
  ~ModelEngine() override;

  // Returns the number of sequences that got a batch slot.
  std::uint64_t started() const { return started_.load(); }
  // Returns the number of started sequences that a cancel call reached.
  std::uint64_t cancelled() const { return cancelled_.load(); }

 private:
  struct Sequence;

  void HandleRequest(const httplib::Request& request, HttpExchange* exchange,
                     httplib::Response* response) override;
  void HandleChat(const httplib::Request& request, HttpExchange* exchange,
                  httplib::Response* response);
  void Generate(Sequence* sequence, httplib::Response* response);
  void Stream(Sequence* sequence);
  bool StreamEvents(Sequence* sequence);
  void SetCompleteResponse(Sequence* sequence, httplib::Response* response);
  bool WaitForToken(Sequence* sequence, std::uint64_t index) const;
  bool Send(Sequence* sequence, const std::string& event) const;
  void Cancel(const std::string& id);
  void RecordLoad();

  const ModelEngineOptions options_;
  BatchSlots slots_;
  PrefixCache cache_;
  EngineOrders orders_;
  LoadReports reports_;
  std::atomic<std::uint64_t> started_{0};
  std::atomic<std::uint64_t> cancelled_{0};
  std::mutex mutex_;
  // Cancel flags of the requests in progress, by request id. A retry can arrive
  // while the first attempt still runs, so ids aren't unique.
  std::multimap<std::string, std::shared_ptr<std::atomic<bool>>> running_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_MODEL_ENGINE_H_
