#ifndef WISTERIAREEL_TEST_SOAK_SOAK_RUN_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_RUN_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "test/soak/router_process.h"
#include "test/soak/soak_caller.h"
#include "test/soak/soak_checker.h"
#include "test/soak/soak_history.h"
#include "test/soak/soak_plan.h"
#include "test/soak/soak_store.h"
#include "test/soak/soak_target.h"

namespace wisteriareel::soak {

struct SoakOptions {
  // Path of the router's program.
  std::string router;
  std::uint64_t seed = 1;
  // Time with traffic and faults.
  absl::Duration length = absl::Seconds(20);
  int instances = 4;
  int targets = 4;
  int callers = 48;
  absl::Duration max_response_time = absl::Seconds(6);
  std::vector<FaultKind> faults;
  // Existing folder for the logs of this seed.
  std::string folder;
};

struct SoakResult {
  // False if the instances didn't get ready; nothing was judged then.
  bool played = false;
  std::size_t requests = 0;
  // Requests that got a success.
  std::size_t answered = 0;
  std::vector<Violation> violations;
};

// Plays one seed: starts stand-ins, processes and callers, injects the faults
// and checks what callers and targets saw. Writes report.txt into the folder.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  ~SoakRun();

  SoakResult Play();

 private:
  // Whether a process runs, and what happens next to it.
  struct Instance {
    std::unique_ptr<RouterProcess> process;
    // Time of SIGTERM while the process is to end.
    absl::Time stop_at = absl::InfiniteFuture();
    // The process was killed.
    bool killed = false;
    absl::Time killed_at;
    absl::Time continue_at = absl::InfiniteFuture();
    absl::Time frozen_at;
    absl::Time start_at = absl::InfiniteFuture();
  };

  bool StartWorld();
  bool AwaitReady() const;
  void StartCallers();
  void InjectFaults();
  void Inject(const PlannedFault& fault);
  void Step(Instance* instance, int number);
  void EndDisturbances();
  SoakResult Judge();
  void Note(const std::string& line);

  const SoakOptions options_;
  SoakRecorder recorder_;
  SoakStore store_;
  std::list<SoakTarget> targets_;
  std::vector<Instance> instances_;
  std::atomic<bool> stop_callers_ = false;
  std::vector<std::thread> callers_;
  absl::Time traffic_start_;
  absl::Time store_back_at_ = absl::InfiniteFuture();
  absl::Time renew_targets_at_;
  std::vector<std::string> notes_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_RUN_H_
