#ifndef WISTERIAREEL_TEST_SOAK_SOAK_TARGET_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_TARGET_H_

#include <string>

#include "absl/time/time.h"
#include "test/soak/message_io.h"
#include "test/soak/soak_history.h"
#include "test/soak/soak_store.h"

namespace wisteriareel::soak {

struct SoakTargetOptions {
  std::string id;
  std::string service;
  // Share of the first runs of streams that the target breaks off midway.
  double break_off_share = 0;
  // Share of the first runs of streams that pause midway, and for how long.
  double pause_share = 0;
  absl::Duration pause = absl::Seconds(3);
  // Time between two events.
  absl::Duration event_interval = absl::Milliseconds(100);
};

// Stand-in for a target, listed in the store. The path of a request ends with
// its number of events, or with its time in milliseconds if it is plain.
class SoakTarget final : public ConnectionServer {
 public:
  // `store` and `recorder` must outlive the target.
  SoakTarget(SoakTargetOptions options, SoakStore* store,
             SoakRecorder* recorder);
  ~SoakTarget() override { StopServing(); }

  // Lists the target. Returns false if no port is free.
  bool Start();
  // Renews the entry in the list.
  void Renew();

 private:
  bool HandleRequest(const HttpMessage& request, int fd) override;
  // Sets `run` as it went and returns whether the response is complete.
  bool Respond(const HttpMessage& request, int fd, TargetRun* run);
  bool SendEvents(const HttpMessage& request, int fd, TargetRun* run);
  // Returns false if the connection or the soak ended before.
  bool WaitOn(int fd, absl::Duration duration) const;

  const SoakTargetOptions options_;
  SoakStore* const store_;
  SoakRecorder* const recorder_;
  std::int64_t sequence_ = 0;
  const std::int64_t started_ms_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_TARGET_H_
