#ifndef WISTERIAREEL_SRC_HTTP_CONNECTION_THREADS_H_
#define WISTERIAREEL_SRC_HTTP_CONNECTION_THREADS_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace wisteriareel {

// Thread pool with one thread per connection, up to a maximum. Connections
// beyond the maximum go to a separate thread that only refuses them, so that a
// server at its limit still responds. Threads start on demand and stay until
// shutdown. Thread-safe.
class ConnectionThreads final : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(std::size_t max_connections);
  ~ConnectionThreads() override;

  void enqueue(std::function<void()> serve_connection) override;
  void shutdown() override;

  // Returns true if called on the thread that refuses connections.
  static bool OnRefusalThread();

  // Returns the number of connections being served or queued for a worker.
  std::size_t busy() const { return busy_.load(); }

 private:
  using Task = std::function<void()>;

  void RunWorker();
  void RunRefusalThread();

  const std::size_t max_connections_;
  std::atomic<std::size_t> busy_{0};
  std::mutex mutex_;
  std::condition_variable work_added_;
  std::condition_variable refusal_added_;
  std::deque<Task> work_;
  std::deque<Task> refusals_;
  std::size_t idle_workers_ = 0;
  bool shut_down_ = false;
  std::vector<std::thread> workers_;
  std::thread refusal_thread_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CONNECTION_THREADS_H_
