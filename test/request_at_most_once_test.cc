#include <array>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

// Thrown through the request path to stop it where it is, as if its process
// had ended.
struct ProcessKilled {};

// What goes wrong around one call, beside the fault of its attempts.
enum class Failure : std::uint8_t {
  kNone,
  kTableDown,
  kReplyLost,        // The claim's commit takes effect; no reply.
  kRequestLost,      // The claim's commit is lost.
  kClaimUnreadable,  // It is lost, and can't be read back.
  kCommitLate,       // It takes effect after it was given up.
  kEveryReplyLost,
  kHolderPaused,  // Longer than the dispatch window, after the claim.
  kKilledBeforeSend,
  kKilledAfterSend,
  kObjectStoreDown,
  kTableDownAfterSend,  // The outcome can't be kept.
  kHolderSeemsDead,     // Others believe that the holder is dead.
  kCallerGone,
  kPastDeadline,  // Refused before it is claimed.
};
constexpr int kFailureCount = 15;

// One call as a test makes it.
struct Step {
  int instance = 0;
  int key = 0;
  AttemptFault first = AttemptFault::kNone;
  AttemptFault second = AttemptFault::kNone;
  Failure failure = Failure::kNone;
};

std::ostream& operator<<(std::ostream& os, const Step& step) {
  return os << "{i" << step.instance << " k" << step.key << " "
            << static_cast<int>(step.first) << ","
            << static_cast<int>(step.second) << " f"
            << static_cast<int>(step.failure) << "}";
}

class AtMostOnceFleet {
 public:
  static constexpr int kInstances = 3;

  AtMostOnceFleet() : fleet_(kInstances) {}

  // Makes a call under failures and checks what its caller was told.
  // Returns what is wrong; empty if nothing is.
  std::string Run(const Step& step) {
    const std::string id = absl::StrCat("r", ++calls_);
    const std::string key = absl::StrCat("k", step.key);
    Arm(step);
    CallerRequest request = ServiceCall(id, key, "/records/issue");
    if (step.failure == Failure::kPastDeadline) {
      request.deadline = fleet_.clock.Now();
    }
    std::string wrong;
    const int sends = fleet_.targets.sends();
    try {
      RecordingWriter writer;
      if (step.failure == Failure::kCallerGone) writer.DisconnectAfter(1);
      const CallResult result =
          fleet_.service(step.instance).Handle(request, &writer);
      wrong = Judge(request, result, writer);
      const bool sent = fleet_.targets.sends() > sends;
      if (sent && result.verdict == Verdict::kMayHaveRun) doubtful_.insert(key);
    } catch (const ProcessKilled&) {
      doubtful_.insert(key);
      ++killed_;
      fleet_.ReplaceInstance(step.instance);
    }
    Disarm();
    const int executions = fleet_.targets.Executions(IdempotencyKey(key));
    if (executions > 1) return absl::StrCat(key, " ran ", executions, " times");
    return wrong;
  }

  // After all failures: each key can be settled, by a retry or by an operator.
  std::string Settle(int keys) {
    // A look at the table lets a late write land while it still may.
    LastReason ignored;
    fleet_.claims(0).ListOpenClaims("", 1, absl::Seconds(1), &ignored);
    for (int i = 0; i < 4; ++i) {
      fleet_.clock.Advance(absl::Minutes(5));
      fleet_.StepAll();
    }
    for (int i = 0; i < kInstances; ++i) {
      if (fleet_.claims(i).CountUnconfirmed() == 0) continue;
      return absl::StrCat("instance ", i, " has unconfirmed changes");
    }
    std::string leaked = FindLeakedClaim();
    if (!leaked.empty()) return leaked;
    for (int key = 0; key < keys; ++key) {
      std::string wrong = SettleKey(key);
      if (!wrong.empty()) return wrong;
    }
    // What a killed instance had reserved is not given back by anyone here.
    return fleet_.budget.open() == killed_ ? "" : "a reservation is left open";
  }

 private:
  void Arm(const Step& step) {
    // The second fault stays, so that calls also end without having run.
    std::vector<AttemptFault> faults(RetryPolicyOptions().max_attempts,
                                     step.second);
    faults[0] = step.first;
    fleet_.targets.ScriptFaults(faults);
    MemoryTable& table = fleet_.table.memory();
    switch (step.failure) {
      case Failure::kNone:
      case Failure::kCallerGone:
      case Failure::kPastDeadline:
        break;
      case Failure::kTableDown:
        table.SetFaults({.outage = true});
        break;
      case Failure::kReplyLost:
        table.SetFaults({.lose_replies = 1});
        break;
      case Failure::kRequestLost:
        table.SetFaults({.lose_requests = 1});
        break;
      case Failure::kClaimUnreadable:
        table.SetFaults({.lose_requests = 1});
        fleet_.table.FailReads(2);
        break;
      case Failure::kEveryReplyLost:
        table.SetFaults({.lose_replies = 1'000});
        break;
      case Failure::kCommitLate:
        fleet_.table.DelayNextCommit(3 + 2 * step.key);
        break;
      case Failure::kHolderPaused:
        fleet_.table.PauseAfterNextCommit(absl::Minutes(20));
        break;
      case Failure::kKilledBeforeSend:
        fleet_.targets.SetSendHook(
            [](const TargetCall&) { throw ProcessKilled(); });
        break;
      case Failure::kKilledAfterSend:
        fleet_.targets.SetSentHook(
            [](const TargetCall&) { throw ProcessKilled(); });
        break;
      case Failure::kObjectStoreDown:
        fleet_.objects.SetFaults({.outage = true});
        break;
      case Failure::kTableDownAfterSend:
        fleet_.targets.SetSentHook(
            [&table](const TargetCall&) { table.SetFaults({.outage = true}); });
        break;
      case Failure::kHolderSeemsDead:
        fleet_.targets.SetSendHook([this, step](const TargetCall& call) {
          SeemDead(step, call.idempotency_key);
        });
        break;
    }
  }

  // While the holder is about to send, others take it for dead, a caller
  // retries elsewhere, and an operator declares that the request didn't run.
  void SeemDead(const Step& step, const IdempotencyKey& key) {
    doubtful_.insert(key.value());
    fleet_.targets.SetSendHook(nullptr);
    for (int i = 1; i <= kInstances + calls_; ++i) {
      fleet_.membership.Set(InstanceId(absl::StrCat("i", i)),
                            MemberState::kDead);
    }
    const int other = (step.instance + 1) % kInstances;
    LastReason reason;
    fleet_.claims(other).Resolve(CustomerId("c"), key, ClaimResolution::kNotRun,
                                 "o", absl::Seconds(1), &reason);
    RecordingWriter writer;
    fleet_.service(other).Handle(
        ServiceCall(absl::StrCat("s", calls_), key.value(), "/records/issue"),
        &writer);
  }

  void Disarm() {
    fleet_.targets.ScriptFaults({});
    fleet_.targets.SetSendHook(nullptr);
    fleet_.targets.SetSentHook(nullptr);
    fleet_.objects.SetFaults({});
    fleet_.table.FailReads(0);
    fleet_.table.memory().SetFaults({});
  }

  std::string Judge(const CallerRequest& request, const CallResult& result,
                    const RecordingWriter& writer) const {
    const int executions = fleet_.targets.Executions(request.idempotency_key);
    if (result.verdict == Verdict::kNotRun && executions > 0) {
      return absl::StrCat(request.id.value(), ": told not run, ran");
    }
    if (result.verdict == Verdict::kRan && executions == 0) {
      return absl::StrCat(request.id.value(), ": told ran, did not");
    }
    if (!writer.complete()) return "";
    const std::string expected =
        fleet_.targets.ExpectedResponse(result.original_request, false);
    if (writer.status() < 300 && writer.body() != expected) {
      return absl::StrCat(request.id.value(), ": got ", writer.body());
    }
    return "";
  }

  // A claim that is left although its call provably didn't run would lose an
  // issuance.
  std::string FindLeakedClaim() {
    LastReason reason;
    const auto open =
        fleet_.claims(0).ListOpenClaims("", 100, absl::Seconds(1), &reason);
    if (!open) return "open claims can't be listed";
    for (const ClaimInfo& line : *open) {
      const bool ran = fleet_.targets.Executions(line.key) > 0;
      if (ran || doubtful_.contains(line.key.value())) continue;
      return line.key.value() + " is claimed for nothing";
    }
    return "";
  }

  std::string SettleKey(int key) {
    const IdempotencyKey name(absl::StrCat("k", key));
    const bool ran = fleet_.targets.Executions(name) > 0;
    LastReason reason;
    fleet_.claims(0).Resolve(
        CustomerId("c"), name,
        ran ? ClaimResolution::kRan : ClaimResolution::kNotRun, "operator",
        absl::Seconds(1), &reason);
    std::string wrong = Run({.key = key});
    if (!wrong.empty()) return wrong;
    if (fleet_.targets.Executions(name) == 1) return "";
    return absl::StrCat(name.value(), " can no longer be run");
  }

  RequestFleet fleet_;
  int calls_ = 0;
  int killed_ = 0;
  // Keys of calls that may have run.
  std::set<std::string> doubtful_;
};

rc::Gen<Step> GenStep() {
  const auto fault =
      rc::gen::map(rc::gen::inRange(0, kAttemptFaultCount),
                   [](int n) { return static_cast<AttemptFault>(n); });
  const auto failure =
      rc::gen::map(rc::gen::inRange(0, kFailureCount),
                   [](int n) { return static_cast<Failure>(n); });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::instance,
                   rc::gen::inRange(0, AtMostOnceFleet::kInstances)),
      rc::gen::set(&Step::key, rc::gen::inRange(0, 2)),
      rc::gen::set(&Step::first, fault), rc::gen::set(&Step::second, fault),
      rc::gen::set(&Step::failure, failure));
}

RC_GTEST_PROP(AtMostOnceTest, HoldsUnderAnySequenceOfFailures, ()) {
  const auto steps = *rc::gen::container<std::vector<Step>>(GenStep());
  AtMostOnceFleet fleet;
  for (const Step& step : steps) RC_ASSERT(fleet.Run(step) == "");
  RC_ASSERT(fleet.Settle(2) == "");
}

// Every failure of the first call with every failure of its retry, and every
// pair of a failure and an attempt's fault within one call.
TEST(AtMostOnceTest, HoldsUnderEveryPairOfFailures) {
  for (int a = 0; a < kFailureCount + kAttemptFaultCount; ++a) {
    for (int b = 0; b < kFailureCount + kAttemptFaultCount; ++b) {
      Step first{.key = 1};
      Step retry{.instance = 1, .key = 1};
      Step both{.key = 1};
      for (const auto& [n, alone] : {std::pair(a, &first), {b, &retry}}) {
        if (n < kFailureCount) {
          alone->failure = both.failure = static_cast<Failure>(n);
        } else {
          alone->first = static_cast<AttemptFault>(n - kFailureCount);
          (both.first == AttemptFault::kNone ? both.first : both.second) =
              alone->first;
        }
      }
      // Within one call a single fault stays.
      if (both.second == AttemptFault::kNone) both.second = both.first;
      for (const auto& steps : {std::vector<Step>{first, retry}, {both}}) {
        AtMostOnceFleet fleet;
        for (const Step& step : steps) {
          EXPECT_EQ(fleet.Run(step), "") << "pair " << a << ", " << b;
        }
        EXPECT_EQ(fleet.Settle(2), "") << "pair " << a << ", " << b;
      }
    }
  }
}

}  // namespace
}  // namespace wisteriareel
