#include "test/crowd/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace wisteriareel::crowd {
namespace {

constexpr int kExitCantExecute = 127;
constexpr mode_t kLogMode = 0600;

}  // namespace

ChildProcess::ChildProcess(const ChildProcessOptions& options) {
  std::vector<std::string> command = options.command;
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& it : command) arguments.push_back(it.data());
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  if (options.max_descriptors > 0) {
    const rlimit limit{.rlim_cur = options.max_descriptors,
                       .rlim_max = options.max_descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  execv(arguments.front(), arguments.data());
  _exit(kExitCantExecute);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool ChildProcess::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ > 0;
}

int ChildProcess::Wait() {
  int status = 0;
  if (pid_ <= 0 || waitpid(std::exchange(pid_, 0), &status, 0) < 0) return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace wisteriareel::crowd
