#ifndef WISTERIAREEL_TEST_SOAK_ROUTER_PROCESS_H_
#define WISTERIAREEL_TEST_SOAK_ROUTER_PROCESS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "test/soak/message_io.h"

namespace wisteriareel::soak {

struct RouterProcessOptions {
  // Path of the program.
  std::string program;
  std::string name;
  // Folder for settings and log.
  std::string folder;
  std::uint16_t store_port = 0;
  // Peer ports of all instances.
  std::vector<std::uint16_t> peer_ports;
  std::uint16_t peer_port = 0;
  // Limit on open descriptors; 0 for that of the starting process.
  rlim_t max_descriptors = 0;
  // Memory of the machine; 0 for the default of the settings.
  int memory_mb = 0;
};

// One instance of the router: a process with the same ports over restarts. Its
// output goes through a pipe to a log file. All functions must be called on the
// thread that started the process, which ends with that thread.
class RouterProcess {
 public:
  explicit RouterProcess(RouterProcessOptions options);
  // Kills the process.
  ~RouterProcess();

  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  // Returns false if the process can't be started.
  bool Start();
  // Does nothing if the process has ended.
  void Signal(int signal) const;
  // Returns whether the process runs. Collects its status when it has ended.
  bool IsRunning();
  bool IsReady() const;

  // Leaves the output unread until `until`.
  void PauseLogReader(absl::Time until);

  std::uint16_t callers_port() const { return callers_port_; }
  std::uint16_t ready_port() const { return ready_port_; }
  // Returns zero if the process doesn't run.
  pid_t pid() const { return pid_; }

 private:
  bool WriteSettings() const;
  void CopyLog();

  const RouterProcessOptions options_;
  const std::string settings_path_;
  const std::string log_path_;
  const std::uint16_t callers_port_ = FindFreePort();
  const std::uint16_t ready_port_ = FindFreePort();
  pid_t pid_ = 0;
  FileDescriptor log_reader_;
  FileDescriptor log_writer_;
  std::atomic<std::int64_t> paused_until_ms_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread log_thread_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_ROUTER_PROCESS_H_
