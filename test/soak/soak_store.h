#ifndef WISTERIAREEL_TEST_SOAK_SOAK_STORE_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"
#include "test/soak/message_io.h"
#include "wisteriareel/async_table.h"

namespace wisteriareel::soak {

// Stand-in for the platform's store: rows with transactions, reads and feeds.
// Thread-safe.
class SoakStore final : public ConnectionServer {
 public:
  SoakStore() = default;
  ~SoakStore() override { StopServing(); }

  // Returns false if no port is free.
  bool Start() { return StartServing(); }

  // While away, the store answers 503 to all calls and does nothing.
  void SetAway(bool away) { away_ = away; }

  // Writes a row as the operator or a target does, also while away.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);

 private:
  struct Row {
    // In Base64.
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  using Query = std::map<std::string, std::string>;

  bool HandleRequest(const HttpMessage& request, int fd) override;
  int HandleCall(const HttpMessage& request, nlohmann::json* reply);
  int Commit(const nlohmann::json& transaction, nlohmann::json* reply);
  void Read(const Query& query, nlohmann::json* reply);
  void AwaitChanges(const Query& query, nlohmann::json* reply);
  void AddClock(nlohmann::json* reply) const;

  const absl::Time started_ = absl::Now();
  std::atomic<bool> away_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 1;
  std::map<PartitionRowKey, Row> rows_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_STORE_H_
