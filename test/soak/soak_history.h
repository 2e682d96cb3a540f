#ifndef WISTERIAREEL_TEST_SOAK_SOAK_HISTORY_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_HISTORY_H_

#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"

// What callers and targets saw of one run of the soak.
namespace wisteriareel::soak {

enum class RequestKind {
  // Has a complete response of known length. May run once.
  kPlain,
  // Has a response of events. May run once.
  kStream,
  // As kStream; may be continued by another target.
  kResumableStream,
};

// How a response ended.
enum class ResponseEnd {
  // Where its framing says.
  kComplete,
  // The connection was closed or reset before that.
  kClosed,
  kReset,
  // The caller gave up.
  kTimeout,
  kMalformed,
};

// One request as its caller saw it.
struct CallerRecord {
  std::string id;
  int instance = 0;
  RequestKind kind = RequestKind::kPlain;
  // Number of events of the complete response; zero if `kind` is kPlain.
  int events = 0;
  // Time limit of the caller or of the route, whichever is shorter.
  absl::Duration time_limit;
  // Times of the first and the last byte of the request.
  absl::Time began;
  absl::Time sent;
  absl::Time ended;
  ResponseEnd end = ResponseEnd::kComplete;
  // Zero if no head arrived.
  int status = 0;
  // Proof that a target made the response; empty if there is none.
  std::string seal;
  std::string body;

  friend bool operator==(const CallerRecord&, const CallerRecord&) = default;
};

// Work of one target on one request.
struct TargetRun {
  std::string request;
  std::string target;
  absl::Time began;
  absl::Time ended;
  // The target closed the connection before its response was complete.
  bool broke_off = false;

  friend bool operator==(const TargetRun&, const TargetRun&) = default;
};

enum class SignalKind { kTerminate, kReload };

struct InstanceSignal {
  int instance = 0;
  SignalKind kind = SignalKind::kTerminate;
  absl::Time at;

  friend bool operator==(const InstanceSignal&,
                         const InstanceSignal&) = default;
};

// Time during which an instance was frozen, or killed and not started again.
struct Disturbance {
  int instance = 0;
  absl::Time from;
  absl::Time to;

  friend bool operator==(const Disturbance&, const Disturbance&) = default;
};

// A process ended though nothing had told it to.
struct UnexpectedExit {
  int instance = 0;
  absl::Time at;

  friend bool operator==(const UnexpectedExit&,
                         const UnexpectedExit&) = default;
};

struct SoakHistory {
  std::vector<CallerRecord> requests;
  std::vector<TargetRun> runs;
  std::vector<InstanceSignal> signals;
  std::vector<Disturbance> disturbances;
  std::vector<UnexpectedExit> exits;

  friend bool operator==(const SoakHistory&, const SoakHistory&) = default;
};

// Body and seal that targets give to the request `id`.
std::string ResponseBody(const std::string& id, int events);
std::string ResponseSeal(const std::string& id);
// One event of a response.
std::string ResponseEvent(const std::string& id, int number);

// Collects the history. Thread-safe.
class SoakRecorder {
 public:
  void Add(CallerRecord request);
  void Add(TargetRun run);
  void Add(InstanceSignal signal);
  void Add(Disturbance disturbance);
  void Add(UnexpectedExit exit);

  SoakHistory Take();

 private:
  std::mutex mutex_;
  SoakHistory history_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_HISTORY_H_
