#ifndef WISTERIAREEL_TEST_PAUSED_STANDARD_OUTPUT_H_
#define WISTERIAREEL_TEST_PAUSED_STANDARD_OUTPUT_H_

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gtest/gtest.h"

namespace wisteriareel {

// Replaces the standard output of this process by a pipe that is full, as if
// its reader paused. A test must not report anything meanwhile: that is written
// to the standard output, too.
class PausedStandardOutput {
 public:
  PausedStandardOutput() : saved_(dup(STDOUT_FILENO)) {
    EXPECT_EQ(pipe(pipe_.data()), 0);
    SetNonBlocking(pipe_[0]);
    SetNonBlocking(pipe_[1]);
    const std::string filling(4096, '.');
    while (write(pipe_[1], filling.data(), filling.size()) > 0) {
    }
    fcntl(pipe_[1], F_SETFL, 0);
    dup2(pipe_[1], STDOUT_FILENO);
  }
  ~PausedStandardOutput() {
    dup2(saved_, STDOUT_FILENO);
    close(pipe_[1]);
    close(saved_);
    ReadAvailable();
    close(pipe_[0]);
  }
  PausedStandardOutput(const PausedStandardOutput&) = delete;
  PausedStandardOutput& operator=(const PausedStandardOutput&) = delete;

  // Lets the reader go on once, and returns what it reads.
  std::string ReadAvailable() const {
    std::string text;
    std::array<char, 4096> buf;
    for (;;) {
      const ssize_t n = read(pipe_[0], buf.data(), buf.size());
      if (n <= 0) return text;
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
  }

 private:
  static void SetNonBlocking(int fd) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  }

  const int saved_;
  std::array<int, 2> pipe_ = {-1, -1};
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_PAUSED_STANDARD_OUTPUT_H_
