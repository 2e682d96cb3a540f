#ifndef WISTERIAREEL_REVIEW_STANDIN_FLEET_H_
#define WISTERIAREEL_REVIEW_STANDIN_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/store.h"

// The programs and stand-ins of one case.
namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Returns false if the environment has TROUBLE=0.
bool HasTrouble();

void SleepMs(int ms);

// Lines with the time since the start of the case. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

 private:
  const SteadyClock::time_point started_ = SteadyClock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

// Stand-in for a server, on a port of its own. Registers in the store and
// writes there as long as it runs.
class Server {
 public:
  // Serves one request: writes the response to `fd` and returns true if the
  // connection stays open.
  using Handler = std::function<bool(const Message& request, int fd)>;

  Server(Store* store, std::string id, std::string service, Handler handler);

  const std::string& id() const { return id_; }

 private:
  void Serve(int fd);
  void Register();

  Store* const store_;
  const std::string id_;
  const std::string service_;
  const Handler handler_;
  const std::int64_t born_ms_;
  std::uint16_t port_ = 0;
  std::int64_t sequence_ = 0;
};

// One machine of the system: runs the router as a process.
class Machine {
 public:
  Machine(std::uint16_t store_port, std::string name, std::string directory,
          std::vector<std::uint16_t> seeds, std::uint16_t peer_port);
  ~Machine();

  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Starts the process. Its log goes to `log_fd`, or to a file if that is -1.
  bool Start(int log_fd = -1);
  // Sends `signal` to the process.
  void Signal(int signal) const;
  // Waits for the end of the process.
  void Wait();
  // Waits until the machine is ready. Returns false after 10 s.
  bool WaitReady() const;
  bool IsReady() const;

  std::uint16_t callers_port() const { return callers_port_; }

 private:
  const std::string name_;
  const std::string log_;
  const std::string settings_;
  const std::uint16_t callers_port_ = FreePort();
  const std::uint16_t ready_port_ = FreePort();
  pid_t pid_ = 0;
};

// Creates a temporary folder and removes it at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();

  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Returns the head of a client's request with a body of `length` bytes.
std::string RequestHead(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms,
                        std::size_t length, const std::string& more = "");

// Returns a manifest with one route "/r/" of host h.example and one tenant with
// key "key".
nlohmann::json Manifest(const nlohmann::json& route,
                        const nlohmann::json& service,
                        const nlohmann::json& tenant);

// Answers GET /report of an idle engine, or GET /health. Returns false if the
// request is neither.
bool AnswerProbe(const Message& request, int fd);

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_FLEET_H_
