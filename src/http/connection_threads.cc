#include "src/http/connection_threads.h"

#include <utility>

namespace wisteriareel {
namespace {

thread_local bool on_refusal_thread = false;

}  // namespace

ConnectionThreads::ConnectionThreads(std::size_t max_connections)
    : max_connections_(max_connections),
      refusal_thread_([this] { RunRefusalThread(); }) {}

ConnectionThreads::~ConnectionThreads() { shutdown(); }

bool ConnectionThreads::OnRefusalThread() { return on_refusal_thread; }

void ConnectionThreads::enqueue(std::function<void()> serve_connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (busy_.load() >= max_connections_) {
    refusals_.push_back(std::move(serve_connection));
    refusal_added_.notify_one();
    return;
  }
  ++busy_;
  work_.push_back(std::move(serve_connection));
  if (work_.size() <= idle_workers_) {
    work_added_.notify_one();
    return;
  }
  workers_.emplace_back([this] { RunWorker(); });
}

void ConnectionThreads::RunWorker() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_workers_;
    work_added_.wait(lock, [this] { return shut_down_ || !work_.empty(); });
    --idle_workers_;
    if (work_.empty()) return;
    Task task = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    task();
    lock.lock();
    --busy_;
  }
}

void ConnectionThreads::RunRefusalThread() {
  on_refusal_thread = true;
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    refusal_added_.wait(lock,
                        [this] { return shut_down_ || !refusals_.empty(); });
    if (refusals_.empty()) return;
    Task task = std::move(refusals_.front());
    refusals_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

void ConnectionThreads::shutdown() {
  std::vector<std::thread> workers;
  std::thread refuser;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    shut_down_ = true;
    workers.swap(workers_);
    refuser.swap(refusal_thread_);
  }
  work_added_.notify_all();
  refusal_added_.notify_all();
  for (std::thread& worker : workers) worker.join();
  if (refuser.joinable()) refuser.join();
}

}  // namespace wisteriareel
