#ifndef WISTERIAREEL_TEST_CROWD_PROCESS_WATCH_H_
#define WISTERIAREEL_TEST_CROWD_PROCESS_WATCH_H_

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

namespace wisteriareel::crowd {

// Samples what a process and the kernel hold for its listeners while the watch
// lives.
class ProcessWatch {
 public:
  // `ports` are those that the process listens on.
  ProcessWatch(pid_t pid, std::vector<std::uint16_t> ports);
  ~ProcessWatch();

  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  // Peak of the resident memory and of the bytes that wait in the kernel's
  // buffers of connections to the listeners.
  std::size_t peak_bytes() const { return peak_bytes_; }
  std::size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  void Sample();

  const pid_t pid_;
  const std::vector<std::uint16_t> ports_;
  std::atomic<std::size_t> peak_bytes_ = 0;
  std::atomic<std::size_t> peak_descriptors_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace wisteriareel::crowd

#endif  // WISTERIAREEL_TEST_CROWD_PROCESS_WATCH_H_
