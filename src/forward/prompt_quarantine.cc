#include "src/forward/prompt_quarantine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

// Maximum number of segments of one prompt that a crash counts against.
constexpr std::size_t kMaxSegments = 256;
// Observations of one target within this time are of the same crash, since a
// target takes longer to start again.
constexpr absl::Duration kMinTimeBetweenCrashes = absl::Seconds(1);
// Crashes of a segment at which instances publish that it is sound. Earlier,
// no instance would refuse it anyway.
constexpr std::size_t kCrashesToPublishProof = 2;

// Tells the key of a prompt with one segment from that of the segment.
constexpr SegmentKey kPromptSeed = 1;

// Returns the keys of the segments that other requests may share, and of the
// whole prompt, which is the last one.
std::vector<SegmentKey> KeysOf(const std::vector<PromptSegment>& segments) {
  std::vector<SegmentKey> keys;
  if (segments.empty()) return keys;
  for (std::size_t n = 0; n + 1 < segments.size() && n < kMaxSegments; ++n) {
    keys.push_back(PromptQuarantine::KeyOf(segments[n]));
  }
  keys.push_back(PromptQuarantine::KeyOfPrompt(segments));
  return keys;
}

// Returns the number of crashes in `observations`, several of which may be of
// the same crash.
int CountCrashes(
    std::vector<std::pair<std::uint64_t, absl::Time>> observations) {
  std::sort(observations.begin(), observations.end());
  int count = 0;
  std::pair<std::uint64_t, absl::Time> last;
  for (const auto& observation : observations) {
    if (count > 0 && observation.first == last.first &&
        observation.second - last.second <= kMinTimeBetweenCrashes) {
      continue;
    }
    ++count;
    last = observation;
  }
  return count;
}

// Returns the time between the first and the last of the crashes.
absl::Duration SpreadOf(const std::vector<const PromptCrash*>& crashes) {
  absl::Time first = absl::InfiniteFuture();
  absl::Time last = absl::InfinitePast();
  for (const PromptCrash* crash : crashes) {
    first = std::min(first, crash->at);
    last = std::max(last, crash->at);
  }
  return last - first;
}

bool Contains(const std::vector<SegmentKey>& keys, SegmentKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

PromptQuarantine::PromptQuarantine(const PromptQuarantineOptions& options)
    : options_(options) {}

void PromptQuarantine::SetChanged(std::function<void()> changed) {
  changed_ = std::move(changed);
}

void PromptQuarantine::NotifyChanged() const {
  if (changed_ != nullptr) changed_();
}

SegmentKey PromptQuarantine::KeyOf(const PromptSegment& segment) {
  return StableHash(segment.id);
}

SegmentKey PromptQuarantine::KeyOfPrompt(
    const std::vector<PromptSegment>& segments) {
  SegmentKey key = kPromptSeed;
  for (const PromptSegment& segment : segments) {
    key = StableHash(segment.id, key);
  }
  return key;
}

std::uint64_t PromptQuarantine::RunOf(const TargetEntry& target) {
  return StableHash(absl::StrCat(target.id.value(), " ", target.started_ms));
}

void PromptQuarantine::RecordCrash(const RequestInfo& request,
                                   const TargetEntry& target,
                                   bool response_begun, absl::Time now) {
  std::vector<SegmentKey> keys = KeysOf(request.prompt_segments);
  if (keys.empty()) return;
  const std::uint64_t run = RunOf(target);
  AddCrash({.id = StableHash(request.id.value(), run),
            .target_run = run,
            .segments = std::move(keys),
            .response_begun = response_begun,
            .at = now},
           /*own=*/true, now);
  RebuildRules(now);
  NotifyChanged();
}

void PromptQuarantine::RecordProof(const std::vector<PromptSegment>& segments,
                                   absl::Time began) {
  bool clears_crash = false;
  const std::vector<SegmentKey> keys = KeysOf(segments);
  for (const SegmentKey key : keys) {
    const auto crash = last_crashes_.find(key);
    // Nearly all prompts come once, so that proofs of them are kept only if
    // they are suspected.
    if (key == keys.back() && crash == last_crashes_.end()) continue;
    if (crash != last_crashes_.end() && ProvenAt(key) < crash->second) {
      clears_crash = true;
    }
    absl::Time& proven = own_proofs_.try_emplace(key, began).first->second;
    proven = std::max(proven, began);
  }
  if (own_proofs_.size() > options_.max_proofs_kept) {
    absl::erase_if(own_proofs_, [this, began](const auto& proof) {
      return began - proof.second > options_.expiry;
    });
    if (own_proofs_.size() > options_.max_proofs_kept) own_proofs_.clear();
  }
  if (!clears_crash) return;
  RebuildRules(began);
  NotifyChanged();
}

void PromptQuarantine::Merge(const PromptEvidence& evidence,
                             EvidenceOrigin origin, absl::Time now) {
  const bool published = origin == EvidenceOrigin::kPublished;
  const std::size_t known = crashes_.size();
  bool proofs_changed = false;
  for (const PromptCrash& crash : evidence.crashes) {
    AddCrash(crash, !published, now);
  }
  for (const SegmentProof& proof : evidence.proofs) {
    // A proof by a peer may not have reached other instances.
    SegmentTimes& proofs = published ? published_proofs_ : own_proofs_;
    absl::Time& at =
        proofs.try_emplace(proof.segment, absl::InfinitePast()).first->second;
    if (proof.at <= at) continue;
    at = std::min(proof.at, now);
    proofs_changed = true;
  }
  if (crashes_.size() == known && !proofs_changed) return;
  RebuildRules(now);
  NotifyChanged();
}

void PromptQuarantine::AddCrash(PromptCrash crash, bool own, absl::Time now) {
  crash.at = std::min(crash.at, now);
  if (crash.segments.empty() || IsExpired(crash.at, now)) return;
  RemoveExpired(now);
  const auto it = crashes_.find(crash.id);
  if (it != crashes_.end()) {
    // Two instances that both published it both keep publishing it.
    if (!own && !it->second.published) it->second.own = false;
    return;
  }
  if (crashes_.size() >= options_.max_crashes_kept) {
    // Keeps what shows most: targets that had begun a response, and the newest.
    const auto least = std::min_element(
        crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
          const PromptCrash& x = a.second.observation;
          const PromptCrash& y = b.second.observation;
          return std::pair(x.response_begun, x.at) <
                 std::pair(y.response_begun, y.at);
        });
    const PromptCrash& other = least->second.observation;
    if (std::pair(crash.response_begun, crash.at) <=
        std::pair(other.response_begun, other.at)) {
      return;
    }
    crashes_.erase(least);
  }
  next_expiry_ = std::min(next_expiry_, crash.at + options_.expiry);
  const std::uint64_t id = crash.id;
  crashes_[id] = {.observation = std::move(crash), .own = own};
}

absl::Time PromptQuarantine::ProvenAt(SegmentKey segment) const {
  absl::Time at = absl::InfinitePast();
  if (const auto it = own_proofs_.find(segment); it != own_proofs_.end()) {
    at = it->second;
  }
  if (const auto it = published_proofs_.find(segment);
      it != published_proofs_.end()) {
    at = std::max(at, it->second);
  }
  return at;
}

void PromptQuarantine::RemoveExpired(absl::Time now) {
  if (now < next_expiry_) return;
  next_expiry_ = absl::InfiniteFuture();
  absl::erase_if(crashes_, [this, now](const auto& entry) {
    return IsExpired(entry.second.observation.at, now);
  });
  for (const auto& [id, crash] : crashes_) {
    next_expiry_ =
        std::min(next_expiry_, crash.observation.at + options_.expiry);
  }
  RebuildRules(now);
}

absl::flat_hash_map<SegmentKey, std::vector<const PromptCrash*>>
PromptQuarantine::FindSuspects() const {
  absl::flat_hash_map<SegmentKey, std::vector<const PromptCrash*>> suspects;
  for (const auto& [id, crash] : crashes_) {
    if (IsExplained(crash.observation)) continue;
    for (const SegmentKey key : crash.observation.segments) {
      if (ProvenAt(key) >= crash.observation.at) continue;
      suspects[key].push_back(&crash.observation);
    }
  }
  return suspects;
}

void PromptQuarantine::RebuildRules(absl::Time now) {
  last_crashes_.clear();
  begun_crashes_.clear();
  for (const auto& [id, crash] : crashes_) {
    if (crash.observation.response_begun) {
      begun_crashes_[crash.observation.target_run].push_back(
          crash.observation.at);
    }
    for (const SegmentKey key : crash.observation.segments) {
      absl::Time& at =
          last_crashes_.try_emplace(key, crash.observation.at).first->second;
      at = std::max(at, crash.observation.at);
    }
  }
  absl::erase_if(published_proofs_, [this](const auto& proof) {
    return !last_crashes_.contains(proof.first);
  });
  const absl::flat_hash_map<SegmentKey, Rule> old_rules =
      std::exchange(rules_, {});
  for (const auto& [key, crashes] : FindSuspects()) {
    if (!IsQuarantined(key, crashes)) continue;
    const auto old = old_rules.find(key);
    const bool added = old == old_rules.end();
    if (added) ++quarantine_count_;
    rules_[key] = MakeRule(key, crashes, added ? now : old->second.since);
  }
}

bool PromptQuarantine::IsExplained(const PromptCrash& crash) const {
  if (crash.response_begun) return false;
  const auto it = begun_crashes_.find(crash.target_run);
  return it != begun_crashes_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&crash](absl::Time at) {
                       return absl::AbsDuration(crash.at - at) <=
                              kMinTimeBetweenCrashes;
                     });
}

bool PromptQuarantine::IsQuarantined(
    SegmentKey segment, const std::vector<const PromptCrash*>& crashes) const {
  std::vector<std::pair<std::uint64_t, absl::Time>> all;
  std::vector<std::pair<std::uint64_t, absl::Time>> begun;
  absl::Time first = absl::InfiniteFuture();
  absl::Time last = absl::InfinitePast();
  for (const PromptCrash* crash : crashes) {
    all.emplace_back(crash->target_run, crash->at);
    if (!crash->response_begun) continue;
    begun.emplace_back(crash->target_run, crash->at);
    first = std::min(first, crash->at);
    last = std::max(last, crash->at);
  }
  const int count = CountCrashes(std::move(all));
  const int begun_count = CountCrashes(std::move(begun));
  if (ProvenAt(segment) != absl::InfinitePast()) {
    return begun_count >= options_.max_crashes_if_proven &&
           last - first >= options_.min_spread_if_proven;
  }
  const bool is_prompt = crashes.front()->segments.back() == segment;
  if (is_prompt) {
    return count >= options_.max_crashes_of_prompt &&
           SpreadOf(crashes) >= options_.min_spread_of_prompt;
  }
  return count + begun_count >= options_.max_weight;
}

PromptQuarantine::Rule PromptQuarantine::MakeRule(
    SegmentKey segment, const std::vector<const PromptCrash*>& crashes,
    absl::Time since) const {
  Rule rule{.since = since, .until = absl::InfinitePast()};
  for (const SegmentKey key : crashes.front()->segments) {
    const bool always_suspect = std::all_of(
        crashes.begin(), crashes.end(), [this, key](const PromptCrash* crash) {
          return Contains(crash->segments, key) && ProvenAt(key) < crash->at;
        });
    if (key != segment && always_suspect) rule.companions.push_back(key);
  }
  for (const PromptCrash* crash : crashes) {
    rule.until = std::max(rule.until, crash->at + options_.expiry);
  }
  return rule;
}

std::optional<QuarantinedSegment> PromptQuarantine::Find(
    const std::vector<PromptSegment>& segments, absl::Time now) {
  RemoveExpired(now);
  if (rules_.empty()) return std::nullopt;
  const std::vector<SegmentKey> keys = KeysOf(segments);
  for (std::size_t n = 0; n < keys.size(); ++n) {
    const auto rule = rules_.find(keys[n]);
    if (rule == rules_.end()) continue;
    const bool has_companions = std::all_of(
        rule->second.companions.begin(), rule->second.companions.end(),
        [&keys](SegmentKey key) { return Contains(keys, key); });
    if (!has_companions) continue;
    // The last key is that of the whole prompt.
    const bool is_prompt = n + 1 == keys.size();
    return QuarantinedSegment{
        .id = is_prompt ? segments.back().id : segments[n].id,
        .since = rule->second.since,
        .until = rule->second.until};
  }
  return std::nullopt;
}

bool PromptQuarantine::MayRetryAfterCrash(
    const std::vector<PromptSegment>& segments) const {
  const auto suspects = FindSuspects();
  const std::vector<SegmentKey> keys = KeysOf(segments);
  for (const SegmentKey key : keys) {
    const auto it = suspects.find(key);
    if (it == suspects.end()) continue;
    if (key == keys.back()) {
      // One crash, or several at once, may have any cause.
      if (SpreadOf(it->second) >= options_.min_spread_of_prompt) return false;
      continue;
    }
    const bool proven = ProvenAt(key) != absl::InfinitePast();
    const bool begun = std::any_of(
        it->second.begin(), it->second.end(),
        [](const PromptCrash* crash) { return crash->response_begun; });
    if ((begun && !proven) || it->second.size() > 2) return false;
  }
  return true;
}

PromptEvidence PromptQuarantine::Collect(absl::Time now) {
  RemoveExpired(now);
  PromptEvidence evidence;
  for (const auto& [id, crash] : crashes_) {
    evidence.crashes.push_back(crash.observation);
  }
  std::sort(evidence.crashes.begin(), evidence.crashes.end(),
            [](const PromptCrash& a, const PromptCrash& b) {
              return std::pair(b.at, b.id) < std::pair(a.at, a.id);
            });
  for (const auto& [key, at] : last_crashes_) {
    const absl::Time proven = ProvenAt(key);
    if (proven == absl::InfinitePast()) continue;
    evidence.proofs.push_back({.segment = key, .at = proven});
  }
  std::sort(evidence.proofs.begin(), evidence.proofs.end(),
            [](const SegmentProof& a, const SegmentProof& b) {
              return a.segment < b.segment;
            });
  return evidence;
}

std::vector<SegmentKey> PromptQuarantine::FindSegmentsToProve() const {
  absl::flat_hash_map<SegmentKey, std::size_t> crash_counts;
  for (const auto& [id, crash] : crashes_) {
    for (const SegmentKey key : crash.observation.segments) {
      const auto proof = published_proofs_.find(key);
      if (proof != published_proofs_.end() &&
          proof->second >= crash.observation.at) {
        continue;
      }
      ++crash_counts[key];
    }
  }
  std::vector<SegmentKey> segments;
  for (const auto& [key, count] : crash_counts) {
    if (count >= kCrashesToPublishProof) segments.push_back(key);
  }
  return segments;
}

bool PromptQuarantine::HasToPublish(const Crash& crash) const {
  return crash.own && !crash.published && !IsExplained(crash.observation);
}

bool PromptQuarantine::HasUrgentEvidence() const {
  return std::any_of(crashes_.begin(), crashes_.end(),
                     [this](const auto& entry) {
                       return entry.second.observation.response_begun &&
                              HasToPublish(entry.second);
                     });
}

bool PromptQuarantine::HasUnpublishedEvidence() const {
  const bool crash = std::any_of(
      crashes_.begin(), crashes_.end(),
      [this](const auto& entry) { return HasToPublish(entry.second); });
  if (crash) return true;
  const std::vector<SegmentKey> to_prove = FindSegmentsToProve();
  return std::any_of(to_prove.begin(), to_prove.end(), [this](SegmentKey key) {
    const absl::Time proven = ProvenAt(key);
    const auto published = published_proofs_.find(key);
    if (published == published_proofs_.end()) {
      return proven != absl::InfinitePast();
    }
    const absl::Time last_crash = last_crashes_.at(key);
    return published->second < last_crash && proven >= last_crash;
  });
}

PromptEvidence PromptQuarantine::CollectPublication(absl::Time now) {
  PromptEvidence evidence = Collect(now);
  std::erase_if(evidence.crashes, [this](const PromptCrash& crash) {
    return !crashes_.at(crash.id).own || IsExplained(crash);
  });
  const std::vector<SegmentKey> to_prove = FindSegmentsToProve();
  std::erase_if(evidence.proofs, [this, &to_prove](const SegmentProof& proof) {
    return !Contains(to_prove, proof.segment) &&
           !published_proofs_.contains(proof.segment);
  });
  return evidence;
}

void PromptQuarantine::RecordPublication(const PromptEvidence& evidence) {
  for (const PromptCrash& crash : evidence.crashes) {
    const auto it = crashes_.find(crash.id);
    if (it != crashes_.end()) it->second.published = true;
  }
  for (const SegmentProof& proof : evidence.proofs) {
    if (!last_crashes_.contains(proof.segment)) continue;
    absl::Time& at =
        published_proofs_.try_emplace(proof.segment, proof.at).first->second;
    at = std::max(at, proof.at);
  }
}

}  // namespace wisteriareel
