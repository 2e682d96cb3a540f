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

// Gives each connection a thread, up to a cap. Connections beyond the cap go
// to one thread of their own that only refuses them, so that a full server
// still answers. Threads are made when first needed and then kept.
// Thread-safe.
class ConnectionThreads final : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(std::size_t max_connections);
  ~ConnectionThreads() override;

  void enqueue(std::function<void()> serve_connection) override;
  void shutdown() override;

  // Returns true on the thread that refuses connections.
  static bool OnRefusalThread();

  // Returns how many connections are being served.
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
