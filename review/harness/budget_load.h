#ifndef WISTERIAREEL_REVIEW_HARNESS_BUDGET_LOAD_H_
#define WISTERIAREEL_REVIEW_HARNESS_BUDGET_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "fleet.h"
#include "store.h"

namespace review {

// A small deployment with one tenant that has a prepaid budget: a store, two
// engines, some routers, and callers that send requests of one size.
class BudgetDeployment {
 public:
  static constexpr std::int64_t kPromptTokens = 900;
  static constexpr std::int64_t kOutputTokens = 100;
  static constexpr int kStride = 5;

  BudgetDeployment(std::int64_t prepaid, int routers,
                   const std::string& record_path);
  ~BudgetDeployment();

  Store& store() { return store_; }
  std::vector<std::unique_ptr<Router>>& routers() { return routers_; }

  // Starts the routers and waits until they are ready.
  bool Start();

  // Sets the number of callers that send one request after the other. The
  // others wait.
  void SetCallers(int count) { active_callers_ = count; }

  // Waits until `count` replies in a row had the status 402.
  bool WaitUntilExhausted(int count, std::chrono::milliseconds timeout) const;

  // Sends SIGTERM to the router, waits for its end and starts it again.
  bool Restart(std::size_t index);

  void Sleep(int ms) const {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
  void Record(const std::string& line);

  // Ends the callers and the routers. Returns what the tenant has consumed: the
  // prompt of each request that ran, once, and the output that was delivered.
  std::int64_t Finish();
  std::int64_t prepaid() const { return prepaid_; }

  // Returns the index of the router that was granted most of the budget.
  std::size_t FindLeader();

  // Waits until the store has rows of `count` routers, which show that they
  // hold a part of the budget. Returns false after `timeout`.
  bool WaitUntilHeldBy(int count, std::chrono::milliseconds timeout);

  // Returns the indexes of the `count` routers with the lowest authorized
  // amounts, as the store's rows state them. They are negative for tokens that
  // a router borrowed and may use only while it is cut off.
  std::vector<std::size_t> FindLargestReserves(int count);

  // Rows of the budget as they are in the store now.
  std::string DescribeRows();

 private:
  void RunCaller(int index);

  const std::int64_t prepaid_;
  const std::string folder_;
  std::mutex record_mutex_;
  std::ofstream record_;
  Store store_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::thread> callers_;
  std::atomic<int> active_callers_ = 0;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> refusals_in_row_ = 0;
  std::atomic<int> next_id_ = 0;
  std::mutex mutex_;
  // Events that callers got, by request.
  std::map<std::string, int> delivered_;
  std::map<int, int> statuses_;
};

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_HARNESS_BUDGET_LOAD_H_
