#ifndef WISTERIAREEL_TEST_SOAK_SOAK_CALLER_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "test/soak/message_io.h"
#include "test/soak/soak_history.h"

namespace wisteriareel::soak {

struct SoakCallerOptions {
  std::uint64_t seed = 1;
  int number = 0;
  // Ports of the instances.
  std::vector<std::uint16_t> ports;
  // Longest time that a target takes for a response.
  absl::Duration max_response_time = absl::Seconds(6);
};

// Sends one request after another. Uses each connection until it is closed,
// then connects to the same or another instance.
class SoakCaller {
 public:
  // `recorder` must outlive the caller.
  SoakCaller(SoakCallerOptions options, SoakRecorder* recorder);

  // Runs until `stop` is set and the last request has ended.
  void Run(const std::atomic<bool>& stop);

 private:
  std::int64_t Draw(std::int64_t low, std::int64_t high);
  bool Connect();
  void SendRequest();
  std::string DrawRequest(CallerRecord* request);
  bool SendInPieces(const std::string& text, CallerRecord* request);

  const SoakCallerOptions options_;
  SoakRecorder* const recorder_;
  std::mt19937_64 random_;
  std::size_t instance_ = 0;
  FileDescriptor connection_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_CALLER_H_
