#ifndef WISTERIAREEL_REVIEW_HARNESS_ENGINE_H_
#define WISTERIAREEL_REVIEW_HARNESS_ENGINE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

// A run of a request at an engine.
struct EngineRun {
  std::string request_id;
  std::string tenant;
  std::string engine;
  std::int64_t prompt_tokens = 0;
  std::int64_t at_ms = 0;
  int events = 0;
};

struct EngineOptions {
  std::string id;
  std::string service;
  std::string zone;
  // Output tokens in one event.
  int stride = 5;
  std::chrono::milliseconds first_event = std::chrono::milliseconds(20);
  std::chrono::milliseconds event_interval = std::chrono::milliseconds(5);
};

// Stand-in of a model server that streams events. Thread-safe.
class Engine {
 public:
  explicit Engine(EngineOptions options);

  // Returns the entry in the store's table of servers.
  std::string Entry(int sequence) const;
  const std::string& id() const { return options_.id; }
  std::vector<EngineRun> Runs() const;
  void Stop() { server_.Stop(); }

 private:
  bool Handle(const HttpMessage& request, Connection* connection);
  bool Stream(const HttpMessage& request, Connection* connection);

  const EngineOptions options_;
  const std::int64_t born_ms_;
  mutable std::mutex mutex_;
  std::vector<EngineRun> runs_;
  int running_ = 0;
  HttpServer server_;
};

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_HARNESS_ENGINE_H_
