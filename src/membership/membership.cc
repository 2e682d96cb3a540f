#include "wisteriareel/membership.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "src/membership/leaving_targets.h"
#include "src/membership/member_messages.h"
#include "src/membership/zone_detector.h"
#include "src/membership/zone_digest_exchange.h"
#include "wisteriareel/published.h"
#include "wisteriareel/rendezvous.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kMinPause = absl::Milliseconds(5);
constexpr double kPollJitter = 0.1;

Member MakeSelf(const Membership::Options& options) {
  const auto started =
      static_cast<std::uint64_t>(absl::ToUnixMillis(options.clock->Now()));
  return {
      .id = options.self,
      .region = options.region,
      .zone = options.zone,
      .endpoint = options.endpoint,
      .incarnation = options.incarnation == 0 ? started : options.incarnation,
      .last_received = options.clock->Now()};
}

}  // namespace

class Membership::State {
 public:
  explicit State(Options options)
      : options_(std::move(options)),
        detector_(MakeSelf(options_)),
        digest_exchange_(options_.zone) {
    ApplyList(options_.seeds);
  }

  absl::Duration Step() {
    if (options_.clock->Now() >= next_list_read_) ReadList();
    std::vector<OutgoingMessage> outgoing;
    absl::Duration pause = options_.max_pause;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const absl::Time now = options_.clock->Now();
      std::vector<MemberChange> changes;
      detector_.Tick(options_.config->Current()->revision(), now, &outgoing,
                     &changes);
      const std::vector<Member> members = detector_.Members();
      digest_exchange_.Tick(options_.self, members, now, &outgoing);
      SendNotices(members, now, &outgoing);
      LogChanges(changes);
      PublishLeaving();
      pause = std::min(pause, leaving_.NextSend() - now);
    }
    Send(outgoing);
    return std::max(pause, kMinPause);
  }

  void ReportTargetLeaving(const TargetId& target) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      leaving_.OnReport(target, options_.clock->Now());
      PublishLeaving();
    }
    if (options_.wake) options_.wake();
  }

  void Receive(const InstanceId& sender, const PeerMessage& message) {
    const auto decoded = DecodeMemberMessage(message);
    if (!decoded) {
      options_.counters->Refused(Reason::kPeerFrameMalformed);
      return;
    }
    std::vector<OutgoingMessage> outgoing;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      std::visit([&](const auto& known) { On(sender, known, &outgoing); },
                 *decoded);
    }
    Send(outgoing);
  }

  std::vector<Member> ZoneMembers() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return detector_.Members();
  }

  std::vector<Member> AllMembers() const {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Member> members = detector_.Members();
    for (Member& contact : digest_exchange_.Contacts()) {
      members.push_back(std::move(contact));
    }
    return members;
  }

  std::optional<Member> Find(const InstanceId& id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const Member& member : detector_.Members()) {
      if (member.id == id) return member;
    }
    const Member* member = digest_exchange_.Find(id);
    if (member == nullptr) return std::nullopt;
    return *member;
  }

  std::optional<std::size_t> TaskRank(const std::string& task) const {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!IsFirstInZone(task)) return std::nullopt;
    const InstanceId own(options_.zone.value());
    std::vector<InstanceId> zones = {own};
    for (const ZoneId& zone : digest_exchange_.Zones())
      zones.emplace_back(zone.value());
    return RendezvousRank(task, own, zones);
  }

  bool IsTargetLeaving(const TargetId& target) const {
    return published_leaving_.Load()->contains(target);
  }

  std::vector<RolloutLine> Lines() const {
    std::lock_guard<std::mutex> lock(mutex_);
    const absl::Time now = options_.clock->Now();
    std::vector<RolloutLine> entries;
    for (const Member& member : detector_.Members()) {
      if (member.state == MemberState::kDead) continue;
      if (member.id == options_.self) {
        entries.push_back({member.id, member.zone,
                           options_.config->Current()->revision(),
                           absl::ZeroDuration()});
        continue;
      }
      entries.push_back({member.id, member.zone, member.revision,
                         now - member.last_received});
    }
    digest_exchange_.AppendRollout(now, &entries);
    std::sort(entries.begin(), entries.end(),
              [](const RolloutLine& a, const RolloutLine& b) {
                return std::tie(a.zone, a.instance) <
                       std::tie(b.zone, b.instance);
              });
    return entries;
  }

  void RequestReports(Revision revision) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      digest_exchange_.RequestReports(revision, options_.clock->Now());
    }
    if (options_.wake) options_.wake();
  }

 private:
  void On(const InstanceId& sender, const Heartbeat& heartbeat,
          std::vector<OutgoingMessage>* /*outgoing*/) {
    std::vector<MemberChange> changes;
    const bool refute = detector_.OnHeartbeat(sender, heartbeat,
                                              options_.clock->Now(), &changes);
    LogChanges(changes);
    if (!refute) return;
    options_.events->Write(EventId::kSuspicionRefuted, Severity::kWarning,
                           "a peer suspects this instance; refuting",
                           {{"instance", sender.value()}});
  }

  void On(const InstanceId& sender, const ZoneDigest& digest,
          std::vector<OutgoingMessage>* outgoing) {
    digest_exchange_.OnDigest(sender, digest, options_.clock->Now());
    if (!digest.reply_wanted) return;
    const Member* member = digest_exchange_.Find(sender);
    if (member == nullptr) return;
    outgoing->push_back(
        {sender, member->endpoint,
         MakeDigest(options_.zone, options_.self, detector_.Members())});
  }

  void On(const InstanceId& /*sender*/, const TargetLeavingNotice& notice,
          std::vector<OutgoingMessage>* /*outgoing*/) {
    leaving_.OnNotice(notice, options_.clock->Now());
    PublishLeaving();
  }

  void SendNotices(const std::vector<Member>& members, absl::Time now,
                   std::vector<OutgoingMessage>* outgoing) {
    for (const TargetLeavingNotice& notice : leaving_.Tick(now)) {
      for (const Member& member : members) {
        if (member.id == options_.self) continue;
        if (member.state == MemberState::kDead) continue;
        outgoing->push_back({member.id, member.endpoint, notice});
      }
    }
  }

  void ReadList() {
    LastReason reason;
    const auto listed = options_.list->List(options_.list_timeout, &reason);
    std::lock_guard<std::mutex> lock(mutex_);
    if (listed) ApplyList(*listed);
    if (listed.has_value() == list_unavailable_) {
      list_unavailable_ = !listed;
      if (list_unavailable_) {
        options_.events->Write(
            EventId::kInstanceListUnavailable, Severity::kWarning,
            "the platform's instance list can't be read; keeping the last one",
            {{"detail", reason.detail()}});
      }
    }
    const double jitter =
        1 + kPollJitter * (2 * options_.random->Fraction() - 1);
    next_list_read_ = options_.clock->Now() +
                      jitter * (IsFirstInZone("list") ? options_.reader_poll
                                                      : options_.fallback_poll);
  }

  void ApplyList(const std::vector<ListedInstance>& listed) {
    const absl::Time now = options_.clock->Now();
    std::vector<MemberChange> changes;
    detector_.OnList(listed, now, &changes);
    digest_exchange_.OnList(listed);
    leaving_.OnList(listed, now);
    LogChanges(changes);
    PublishLeaving();
  }

  // Returns whether this instance is the first in rendezvous order among its
  // zone's live members.
  bool IsFirstInZone(const std::string& topic) const {
    std::vector<InstanceId> live;
    for (const Member& member : detector_.Members()) {
      const bool counts =
          member.state == MemberState::kAlive || member.id == options_.self;
      if (counts) live.push_back(member.id);
    }
    return RendezvousRank(topic, options_.self, live) == 0;
  }

  void PublishLeaving() {
    if (!leaving_.TakeChanged()) return;
    const auto before = published_leaving_.Load();
    auto after = std::make_shared<const TargetSet>(leaving_.Leaving());
    for (const TargetId& target : *after) {
      if (before->contains(target)) continue;
      options_.events->Write(EventId::kTargetLeaving, Severity::kInfo,
                             "target is leaving", {{"target", target.value()}});
    }
    published_leaving_.Store(std::move(after));
  }

  void LogChanges(const std::vector<MemberChange>& changes) {
    for (const MemberChange& change : changes) {
      const std::vector<EventField> fields = {{"instance", change.id.value()}};
      switch (change.state) {
        case MemberState::kSuspect:
          options_.events->Write(EventId::kMemberSuspected, Severity::kInfo,
                                 "no heartbeats from instance; suspecting it",
                                 fields);
          break;
        case MemberState::kDead:
          options_.events->Write(EventId::kMemberDead, Severity::kWarning,
                                 "no heartbeats from instance; declared dead",
                                 fields);
          break;
        case MemberState::kAlive:
        case MemberState::kLeaving:
          options_.events->Write(EventId::kMemberAlive, Severity::kInfo,
                                 "instance is alive", fields);
          break;
      }
    }
  }

  void Send(const std::vector<OutgoingMessage>& outgoing) {
    for (const OutgoingMessage& message : outgoing) {
      options_.transport->Send(message.to, message.endpoint,
                               EncodeMemberMessage(message.message));
    }
  }

  const Options options_;
  mutable std::mutex mutex_;
  ZoneDetector detector_;
  ZoneDigestExchange digest_exchange_;
  LeavingTargets leaving_;
  bool list_unavailable_ = false;
  Published<TargetSet> published_leaving_;
  // Accessed only by the thread that runs Step.
  absl::Time next_list_read_ = absl::InfinitePast();
};

Membership::Membership(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

Membership::~Membership() = default;

absl::Duration Membership::Step() { return state_->Step(); }

void Membership::ReportTargetLeaving(const TargetId& target) {
  state_->ReportTargetLeaving(target);
}

std::optional<std::size_t> Membership::TaskRank(const std::string& task) const {
  return state_->TaskRank(task);
}

std::vector<Member> Membership::ZoneMembers() const {
  return state_->ZoneMembers();
}

std::vector<Member> Membership::AllMembers() const {
  return state_->AllMembers();
}

std::optional<Member> Membership::FindMember(const InstanceId& id) const {
  return state_->Find(id);
}

bool Membership::IsTargetLeaving(const TargetId& target) const {
  return state_->IsTargetLeaving(target);
}

std::vector<RolloutLine> Membership::Lines() const { return state_->Lines(); }

void Membership::RequestReports(Revision revision) {
  state_->RequestReports(revision);
}

void Membership::OnPeerMessage(const InstanceId& sender,
                               const PeerMessage& message) {
  state_->Receive(sender, message);
}

}  // namespace wisteriareel
