#ifndef WISTERIAREEL_SRC_FORWARD_PROMPT_QUARANTINE_H_
#define WISTERIAREEL_SRC_FORWARD_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/request_info.h"
#include "src/forward/target_entry.h"

namespace wisteriareel {

// Stable hash of a prompt segment's id, or of a whole prompt. Its size doesn't
// depend on what callers send.
using SegmentKey = std::uint64_t;

// A target that crashed while it had a request with a prompt.
struct PromptCrash {
  // Identifies this observation at all instances.
  std::uint64_t id = 0;
  // Identifies the target from its start to the crash.
  std::uint64_t target_run = 0;
  // The segments of the prompt that other requests may share, and the whole
  // prompt, which its caller may send again, as the last one.
  std::vector<SegmentKey> segments;
  // The target had begun the response to this request: its head was received,
  // but no event. Otherwise nothing was received.
  bool response_begun = false;
  absl::Time at;

  friend bool operator==(const PromptCrash&, const PromptCrash&) = default;
};

// A target that didn't crash by a response to a prompt with `segment`, which it
// began at `at`.
struct SegmentProof {
  SegmentKey segment = 0;
  absl::Time at;

  friend bool operator==(const SegmentProof&, const SegmentProof&) = default;
};

// Observations that instances exchange.
struct PromptEvidence {
  std::vector<PromptCrash> crashes;
  std::vector<SegmentProof> proofs;

  friend bool operator==(const PromptEvidence&,
                         const PromptEvidence&) = default;
};

// Where evidence came from.
enum class EvidenceOrigin : std::uint8_t {
  // Another instance has published it to all.
  kPublished,
  // It may be known to a few instances only.
  kPeer,
};

struct PromptQuarantineOptions {
  // Number of targets that crashed in a row at which a segment is quarantined.
  // Those that had begun the response count twice.
  int max_weight = 6;
  // Number of targets that crashed in a row, and minimum time between the first
  // and the last of them, at which a whole prompt is quarantined. A failure of
  // many targets at once hits equal requests of many callers.
  int max_crashes_of_prompt = 3;
  absl::Duration min_spread_of_prompt = absl::Milliseconds(300);
  // Number of targets that had begun the response and crashed in a row, and
  // minimum time between the first and the last of them, at which a segment is
  // quarantined that targets responded to before.
  int max_crashes_if_proven = 5;
  absl::Duration min_spread_if_proven = absl::Seconds(2);
  // Time after the last crash at which the quarantine of a segment ends.
  absl::Duration expiry = absl::Minutes(10);
  std::size_t max_crashes_kept = 256;
  std::size_t max_proofs_kept = 4096;
};

// A quarantined segment of a request's prompt, or its last segment if the whole
// prompt is quarantined.
struct QuarantinedSegment {
  std::string id;
  // Start and end of the quarantine.
  absl::Time since;
  absl::Time until;

  friend bool operator==(const QuarantinedSegment&,
                         const QuarantinedSegment&) = default;
};

// Finds the prompt segments and the whole prompts that crash each target that
// begins to respond to them, and quarantines them.
//
// It answers this load pattern: requests with one bad segment, or one bad
// request that its caller sends again, reach any instance; each crash ends the
// responses to many sound requests, which share all other segments with the bad
// ones; targets also crash for other reasons. A single instance sees few of the
// crashes, so instances exchange them.
//
// A crash counts against the segments of the request whose response had just
// begun; if no instance knows such a request, because the head was lost in the
// crash, against those of all requests that waited for their response. A
// response that goes on clears its segments of all earlier crashes. Of segments
// that always crashed together, only requests with all of them are refused,
// since it isn't known which one is bad.
//
// Failures of many targets at once hit many requests with popular segments. So
// a segment that targets responded to before is quarantined only if crashes go
// on for a while without another such response. Not thread-safe.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(const PromptQuarantineOptions& options = {});

  // Sets the function that runs whenever there may be new evidence to publish,
  // or a new segment is quarantined. It must not call back into this class or
  // into the exchanges.
  void SetChanged(std::function<void()> changed);

  // Returns the ids of observations, equal at all instances.
  static SegmentKey KeyOf(const PromptSegment& segment);
  static SegmentKey KeyOfPrompt(const std::vector<PromptSegment>& segments);
  static std::uint64_t RunOf(const TargetEntry& target);

  // Records that `target` crashed at `now` while it had the request.
  // `response_begun` as in PromptCrash.
  void RecordCrash(const RequestInfo& request, const TargetEntry& target,
                   bool response_begun, absl::Time now);

  // Records that a target began a response to `segments` at `began` and went on
  // with it.
  void RecordProof(const std::vector<PromptSegment>& segments,
                   absl::Time began);

  // Adds the observations of other instances.
  void Merge(const PromptEvidence& evidence, EvidenceOrigin origin,
             absl::Time now);

  // Returns a quarantined segment that makes a request with `segments`
  // unservable, or nullopt.
  std::optional<QuarantinedSegment> Find(
      const std::vector<PromptSegment>& segments, absl::Time now);

  // Returns true if a request that was in progress at a crash may be sent to
  // another target: none of its segments is likely to be the cause.
  bool MayRetryAfterCrash(const std::vector<PromptSegment>& segments) const;

  // Returns all that is known about crashes, newest first.
  PromptEvidence Collect(absl::Time now);

  // Returns true if this instance knows a crash of a target that had begun the
  // response, and has to publish it.
  bool HasUrgentEvidence() const;
  // Returns true if other instances need a crash or a proof that this one
  // hasn't published.
  bool HasUnpublishedEvidence() const;

  // Returns all that this instance has to publish, including what it published
  // before.
  PromptEvidence CollectPublication(absl::Time now);

  // Records that this instance has published `evidence`.
  void RecordPublication(const PromptEvidence& evidence);

  // Returns true if evidence from `at` no longer counts.
  bool IsExpired(absl::Time at, absl::Time now) const {
    return at + options_.expiry <= now;
  }

  // Number of segments that became quarantined so far.
  std::uint64_t quarantine_count() const { return quarantine_count_; }

 private:
  struct Crash {
    PromptCrash observation;
    // This instance has to publish it.
    bool own = false;
    // This instance has published it.
    bool published = false;
  };
  // Requests with the segment and all its companions are refused.
  struct Rule {
    std::vector<SegmentKey> companions;
    absl::Time since;
    absl::Time until;
  };
  using SegmentTimes = absl::flat_hash_map<SegmentKey, absl::Time>;

  void AddCrash(PromptCrash crash, bool own, absl::Time now);
  // Returns the latest proof of the segment, or InfinitePast.
  absl::Time ProvenAt(SegmentKey segment) const;
  void RemoveExpired(absl::Time now);
  void RebuildRules(absl::Time now);
  bool IsQuarantined(SegmentKey segment,
                     const std::vector<const PromptCrash*>& crashes) const;
  Rule MakeRule(SegmentKey segment,
                const std::vector<const PromptCrash*>& crashes,
                absl::Time since) const;
  // Returns true if another request explains the crash of a target that hadn't
  // begun the response to this one.
  bool IsExplained(const PromptCrash& crash) const;
  bool HasToPublish(const Crash& crash) const;
  // Returns the segments that count against, each with its crashes.
  absl::flat_hash_map<SegmentKey, std::vector<const PromptCrash*>>
  FindSuspects() const;
  // Returns the segments of at least kCrashesToPublishProof crashes that no
  // published proof clears.
  std::vector<SegmentKey> FindSegmentsToProve() const;
  void NotifyChanged() const;

  const PromptQuarantineOptions options_;
  std::function<void()> changed_;
  absl::flat_hash_map<std::uint64_t, Crash> crashes_;
  // Times at which targets crashed that had begun a response, by target run.
  absl::flat_hash_map<std::uint64_t, std::vector<absl::Time>> begun_crashes_;
  // Times of the newest crash of each segment.
  SegmentTimes last_crashes_;
  // Proofs by this instance, and by others for the segments of crashes.
  SegmentTimes own_proofs_;
  SegmentTimes published_proofs_;
  absl::flat_hash_map<SegmentKey, Rule> rules_;
  absl::Time next_expiry_ = absl::InfiniteFuture();
  std::uint64_t quarantine_count_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_PROMPT_QUARANTINE_H_
