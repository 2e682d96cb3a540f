#ifndef WISTERIAREEL_STANDIN_PLAIN_SERVICE_H_
#define WISTERIAREEL_STANDIN_PLAIN_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standin/standin_listener.h"

namespace wisteriareel {

// A plain service behind HTTP. Every call to any path but /faults and
// /executions executes and is counted under its Idempotency-Key, or under its
// X-Request-Id if it has none. The response holds the serial number of the
// execution. GET /executions returns the counts. Thread-safe.
class PlainService final : public StandinListener {
 public:
  PlainService();
  ~PlainService() override;

  // Returns the number of executions under `key`.
  std::uint64_t Executions(const std::string& key) const;
  // Returns the number of responses that were sent twice.
  std::uint64_t duplicates() const { return duplicates_.load(); }
  // Returns the number of executions under all keys.
  std::uint64_t executions() const;

 private:
  void HandleRequest(const httplib::Request& request, HttpExchange* exchange,
                     httplib::Response* response) override;
  // Counts an execution. Returns its serial number, starting at 1.
  std::uint64_t Execute(const std::string& key);

  std::atomic<std::uint64_t> duplicates_{0};
  mutable std::mutex mutex_;
  std::uint64_t execution_count_ = 0;
  std::map<std::string, std::uint64_t> executions_by_key_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_PLAIN_SERVICE_H_
