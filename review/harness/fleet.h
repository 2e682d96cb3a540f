#ifndef WISTERIAREEL_REVIEW_HARNESS_FLEET_H_
#define WISTERIAREEL_REVIEW_HARNESS_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "http.h"

namespace review {

struct RouterOptions {
  std::string id;
  std::string zone;
  int store_port = 0;
  int callers_port = 0;
  int ready_port = 0;
  int peers_port = 0;
  std::vector<int> seed_ports;
  // Folder for the settings and the log.
  std::string folder;
};

// One process of the router. Runs the command of the deploy file.
class Router {
 public:
  explicit Router(RouterOptions options);
  ~Router();

  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void Start();
  bool IsReady() const;
  bool WaitUntilReady(std::chrono::milliseconds timeout) const;
  void Signal(int signal) const;
  // Waits for the end of the process, and kills it after `timeout`.
  void WaitForEnd(std::chrono::milliseconds timeout);
  // Sends SIGKILL and waits for the end.
  void Kill();
  bool IsRunning();

  const RouterOptions& options() const { return options_; }

 private:
  const RouterOptions options_;
  std::string settings_;
  pid_t pid_ = 0;
  int starts_ = 0;
};

// A request of a caller.
struct CallerRequest {
  int port = 0;
  std::string method = "POST";
  std::string host;
  std::string target;
  std::string id;
  std::string api_key;
  // Value of Wisteriareel-Token-Counts, or empty.
  std::string token_counts;
  std::string prompt_prefix;
  std::string body;
  std::chrono::milliseconds deadline = std::chrono::milliseconds(4000);
};

// What a caller got.
struct CallerReply {
  // 0 if no head arrived.
  int status = 0;
  bool complete = false;
  bool sealed = false;
  std::string body;
  // Events of a stream.
  int events = 0;
  double retry_after_s = 0;
};

// Sends the request on a connection of its own.
CallerReply Call(const CallerRequest& request);

// Returns a path for temporary files, made for this process.
std::string MakeTemporaryFolder();

// Returns true if the environment variable TROUBLE isn't "0".
bool WantsTrouble();

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_HARNESS_FLEET_H_
