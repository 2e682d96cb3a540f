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
  // Time between two tokens of a sequence.
  absl::Duration token_interval = absl::Milliseconds(5);
  // Time for each 1,000 prompt tokens that aren't in the prefix cache.
  absl::Duration prefill_per_thousand = absl::Milliseconds(10);
  // Sequences that advance together; more wait.
  int max_batch = 256;
  // Prefixes kept.
  std::size_t cache_entries = 64;
  // Puts the time of sending into each event, in microseconds.
  bool stamp_events = false;
  // Refuses orders with an old fencing number.
  bool checks_fencing = true;
};

// A model engine behind HTTP that answers with EngineText. Paths:
//   POST   /v1/chat/completions   X-Resume-Offset skips events
//   DELETE /v1/requests/ID        cancels the request with that X-Request-Id
//   GET    /v1/load, /v1/state, /v1/cache_events?after=N
//   POST   /v1/orders
// Thread-safe.
class ModelEngine final : public StandinListener {
 public:
  explicit ModelEngine(ModelEngineOptions options);
  ~ModelEngine() override;

  // Returns how many sequences were begun.
  std::uint64_t started() const { return started_.load(); }
  // Returns how many were ended by a cancel call.
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
  // Requests being answered, by id. A request may arrive twice.
  std::multimap<std::string, std::shared_ptr<std::atomic<bool>>> running_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_MODEL_ENGINE_H_
