#ifndef WISTERIAREEL_TEST_CROWD_CHILD_PROCESS_H_
#define WISTERIAREEL_TEST_CROWD_CHILD_PROCESS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <string>
#include <vector>

namespace wisteriareel::crowd {

struct ChildProcessOptions {
  // The program and its arguments.
  std::vector<std::string> command;
  // File for standard output and standard error.
  std::string log;
  // Limit on open descriptors; 0 for that of the starting process.
  rlim_t max_descriptors = 0;
};

// A process that ends with this object. All functions must be called on the
// thread that created it.
class ChildProcess {
 public:
  explicit ChildProcess(const ChildProcessOptions& options);
  // Kills the process.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  // Collects the status of the process when it has ended.
  bool IsRunning();
  // Waits for the end. Returns the exit code, or -1 if a signal ended it.
  int Wait();

 private:
  pid_t pid_ = 0;
};

}  // namespace wisteriareel::crowd

#endif  // WISTERIAREEL_TEST_CROWD_CHILD_PROCESS_H_
