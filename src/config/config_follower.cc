#include "wisteriareel/config_follower.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/config/config_messages.h"
#include "src/config/config_reader.h"
#include "src/config/peer_snapshot.h"
#include "wisteriareel/rendezvous.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kMinPause = absl::Milliseconds(5);
// Unanswered pulls after which any instance reads the table before its polling
// interval has passed.
constexpr int kPullsBeforeTable = 2;
constexpr double kPollJitter = 0.1;

struct InboundMessage {
  InstanceId sender;
  ConfigMessage message;
};

// Bounded queue of messages for the worker. Thread-safe.
class Inbox {
 public:
  explicit Inbox(std::size_t limit) : limit_(limit) {}

  // Returns false if the inbox is full.
  bool Push(InboundMessage inbound) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (messages_.size() >= limit_) return false;
    messages_.push_back(std::move(inbound));
    return true;
  }

  std::deque<InboundMessage> PopAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(messages_, {});
  }

 private:
  const std::size_t limit_;
  std::mutex mutex_;
  std::deque<InboundMessage> messages_;
};

}  // namespace

// Only the thread that runs Step accesses the members, except for the inbox and
// `table_read_requested_`.
class ConfigFollower::Worker {
 public:
  explicit Worker(Options options)
      : options_(std::move(options)),
        inbox_(options_.inbox_limit),
        reader_(options_.table, options_.counters),
        recent_(options_.recent_deltas) {}

  absl::Duration Step() {
    if (started_ == absl::InfinitePast()) started_ = options_.clock->Now();
    members_ = options_.membership->AllMembers();
    for (const InboundMessage& inbound : inbox_.PopAll()) Handle(inbound);
    if (table_read_requested_.exchange(false) ||
        options_.clock->Now() >= next_poll_) {
      PollTable();
    }
    if (IsPullDue()) Pull();
    const absl::Time now = options_.clock->Now();
    return std::clamp(next_poll_ - now, kMinPause, options_.max_pause);
  }

  void RequestTableRead() { table_read_requested_ = true; }

  void Receive(const InstanceId& sender, const PeerMessage& message) {
    auto decoded = DecodeConfigMessage(message);
    if (!decoded) {
      options_.counters->Refused(Reason::kPeerFrameMalformed);
      return;
    }
    if (!inbox_.Push({sender, *std::move(decoded)})) {
      options_.counters->Refused(Reason::kQueueFull);
      return;
    }
    if (options_.wake) options_.wake();
  }

 private:
  Revision Current() const { return options_.config->Snapshot()->revision(); }

  std::size_t RankAmong(const std::vector<InstanceId>& members) const {
    return RendezvousRank(absl::StrCat("config/", options_.zone.value()),
                          options_.self, members);
  }

  // Sets `live` to the zone's live instances, this one included, and returns
  // this instance's rank among them.
  std::size_t Rank(std::vector<InstanceId>* live) const {
    live->clear();
    for (const Member& member : members_) {
      if (member.zone != options_.zone) continue;
      const bool counts =
          member.state == MemberState::kAlive || member.id == options_.self;
      if (counts) live->push_back(member.id);
    }
    return RankAmong(*live);
  }

  // Returns whether an instance that has loaded no configuration yet should
  // still wait for a snapshot from a peer of its zone. A full read costs the
  // table service as many rows as there are entries, and many instances start
  // on an ordinary day. Readers wait for a shorter time, so that the start of a
  // complete zone costs two full reads.
  bool AwaitsPeerSnapshot() const {
    std::vector<InstanceId> listed;
    for (const Member& member : members_) {
      if (member.zone != options_.zone) continue;
      if (member.state != MemberState::kDead) listed.push_back(member.id);
    }
    if (listed.size() < 2) return false;
    const absl::Duration timeout = RankAmong(listed) < options_.readers
                                       ? options_.reader_peer_timeout
                                       : options_.peer_timeout;
    return options_.clock->Now() - started_ < timeout;
  }

  bool IsReader() const {
    std::vector<InstanceId> live;
    // If the membership is empty, the instance reads the table on its own.
    return Rank(&live) < options_.readers || live.empty();
  }

  void PollTable() {
    const absl::Time now = options_.clock->Now();
    LastReason reason;
    const auto head = ReadTable(&reason);
    SetPlatformUnavailable(!head, reason);
    if (head && loaded_ && Current() >= *head) options_.config->Confirm(now);
    absl::Duration pause = options_.retry_poll;
    if (head && loaded_) {
      pause = IsReader() ? options_.reader_poll : options_.fallback_poll;
    }
    const double jitter =
        1 + kPollJitter * (2 * options_.random->Fraction() - 1);
    next_poll_ = options_.clock->Now() + pause * jitter;
  }

  // Updates the configuration to the table's revision. Returns that revision,
  // or nullopt on failure.
  std::optional<Revision> ReadTable(LastReason* reason) {
    const auto head = reader_.ReadHead(options_.table_timeout, reason);
    if (!head || !CatchUp(*head, reason)) return std::nullopt;
    return head->revision;
  }

  bool CatchUp(const ConfigHead& head, LastReason* reason) {
    const Revision current = Current();
    if (head.revision < current) {
      options_.events->Write(
          EventId::kConfigHeadBehind, Severity::kError,
          "the head row has an older revision than the configuration in force",
          {{"table", absl::StrCat(head.revision.value())},
           {"in_force", absl::StrCat(current.value())}});
      reason->Set(Reason::kRevisionStale, "head row");
      return false;
    }
    if (head.revision == current) {
      loaded_ = true;
      return true;
    }
    if (!loaded_ && AwaitsPeerSnapshot()) return true;
    if (!loaded_ || full_read_needed_) return ReadSnapshot(reason);
    const auto deltas = reader_.ReadDeltas(current, head.revision,
                                           options_.table_timeout, reason);
    if (!deltas) {
      return reason->reason() == Reason::kRevisionStale && ReadSnapshot(reason);
    }
    if (!ApplyAll(*deltas, ConfigOrigin::kPlatform))
      return ReadSnapshot(reason);
    Push(*deltas);
    return true;
  }

  bool ReadSnapshot(LastReason* reason) {
    auto snapshot = reader_.ReadSnapshot(options_.table_timeout, reason);
    if (snapshot == nullptr) return false;
    full_read_needed_ = false;
    options_.events->Write(EventId::kConfigFullyRead, Severity::kInfo,
                           "all configuration entries were read from the table",
                           {{"entries", absl::StrCat(snapshot->size())}});
    Publish(std::move(snapshot), ConfigOrigin::kPlatform);
    return true;
  }

  void Publish(std::shared_ptr<const ImmutableConfigSnapshot> next,
               ConfigOrigin origin) {
    const Revision before = Current();
    const Revision revision = next->revision();
    if (!options_.config->Publish(std::move(next), origin)) return;
    loaded_ = true;
    peer_snapshot_.reset();
    unanswered_pulls_ = 0;
    options_.counters->Add(Counter::kConfigChangesApplied,
                           revision.value() - before.value());
    if (before != Revision()) return;
    options_.events->Write(
        EventId::kConfigLoaded, Severity::kInfo, "configuration loaded",
        {{"revision", absl::StrCat(revision.value())},
         {"from", origin == ConfigOrigin::kPlatform ? "platform" : "peer"}});
  }

  // Applies the deltas that continue the current revision without a gap.
  // Returns false, and applies none of them, if a resulting digest differs from
  // the one in the delta.
  bool ApplyAll(const std::vector<ConfigDelta>& deltas, ConfigOrigin origin) {
    auto snapshot = options_.config->Snapshot();
    for (const ConfigDelta& delta : deltas) {
      if (delta.revision <= snapshot->revision()) continue;
      if (delta.revision != snapshot->revision().Next()) break;
      auto next = snapshot->Apply(delta);
      if (next == nullptr) {
        options_.events->Write(
            EventId::kConfigDigestMismatch, Severity::kError,
            "digest after a change differs from the stated one; reading all "
            "entries",
            {{"revision", absl::StrCat(delta.revision.value())}});
        full_read_needed_ = true;
        RequestTableRead();
        return false;
      }
      recent_.Add(delta);
      snapshot = std::move(next);
    }
    Publish(std::move(snapshot), origin);
    return true;
  }

  // Sends `deltas` to the instances of the zone that this reader serves.
  void Push(const std::vector<ConfigDelta>& deltas) {
    std::vector<InstanceId> live;
    const std::size_t rank = Rank(&live);
    const std::size_t readers = std::min(options_.readers, live.size());
    if (rank >= readers) return;
    const PeerMessage message =
        EncodeConfigMessage(ConfigDeltas{Current(), deltas});
    for (const Member& member : members_) {
      if (member.zone != options_.zone || member.id == options_.self) continue;
      if (member.state == MemberState::kDead) continue;
      if (StableHash(member.id.value()) % readers != rank) continue;
      Send(member, message);
    }
  }

  void Send(const Member& member, const PeerMessage& message) {
    options_.transport->Send(member.id, member.endpoint, message);
  }

  void Handle(const InboundMessage& inbound) {
    std::visit([&](const auto& message) { OnMessage(inbound.sender, message); },
               inbound.message);
  }

  void OnMessage(const InstanceId& sender, const RevisionNotice& notice) {
    if (notice.revision <= newest_announced_) return;
    newest_announced_ = notice.revision;
    newest_source_ = sender;
  }

  void OnMessage(const InstanceId& sender, const ConfigPull& pull) {
    const auto member = options_.membership->FindMember(sender);
    if (!member || Current() == Revision()) return;
    if (!pull.full_snapshot && pull.have >= Current()) return;
    if (!pull.full_snapshot) {
      if (auto deltas = recent_.After(pull.have); deltas) {
        Send(*member,
             EncodeConfigMessage(ConfigDeltas{Current(), *std::move(deltas)}));
        return;
      }
    }
    Send(*member, EncodeConfigMessage(MakeChunk(*options_.config->Snapshot(),
                                                pull, options_.chunk_entries)));
  }

  void OnMessage(const InstanceId& sender, const ConfigDeltas& message) {
    OnMessage(sender, RevisionNotice{message.newest});
    ApplyAll(message.deltas, ConfigOrigin::kPeer);
  }

  void OnMessage(const InstanceId& sender, const ConfigChunk& chunk) {
    if (chunk.revision <= Current()) return;
    if (!peer_snapshot_ || peer_snapshot_->source() != sender) {
      // A peer may also respond to a request for deltas with the first chunk of
      // a snapshot.
      if (sender != pull_source_) return;
      peer_snapshot_.emplace(sender);
    }
    auto snapshot = peer_snapshot_->Add(chunk);
    if (snapshot != nullptr) {
      Publish(std::move(snapshot), ConfigOrigin::kPeer);
      return;
    }
    // If the last chunk yields no valid snapshot, the next pull starts over.
    if (chunk.last) peer_snapshot_.reset();
    const auto member = options_.membership->FindMember(sender);
    if (!member || !peer_snapshot_) return;
    unanswered_pulls_ = 0;
    next_pull_ = options_.clock->Now() + options_.pull_retry;
    Send(*member, EncodeConfigMessage(peer_snapshot_->NextPull()));
  }

  // Returns the members to pull from: those with a newer revision, or all
  // members if no configuration has been loaded yet. Members of this zone are
  // preferred.
  std::vector<const Member*> PullSources() const {
    std::vector<const Member*> same_zone;
    std::vector<const Member*> other_zones;
    const Revision current = Current();
    for (const Member& member : members_) {
      if (member.id == options_.self) continue;
      if (member.state == MemberState::kDead) continue;
      const bool newer =
          member.revision > current ||
          (member.id == newest_source_ && newest_announced_ > current);
      if (!newer && loaded_) continue;
      (member.zone == options_.zone ? same_zone : other_zones)
          .push_back(&member);
    }
    return same_zone.empty() ? other_zones : same_zone;
  }

  bool IsPullDue() const {
    if (options_.clock->Now() < next_pull_) return false;
    // A reader pulls from peers only while the table is unavailable.
    return !loaded_ || platform_unavailable_ || !IsReader();
  }

  void Pull() {
    const auto sources = PullSources();
    if (sources.empty()) return;
    const Member& source = *sources[options_.random->Below(sources.size())];
    peer_snapshot_.reset();
    pull_source_ = source.id;
    next_pull_ = options_.clock->Now() + options_.pull_retry;
    if (++unanswered_pulls_ > kPullsBeforeTable && !platform_unavailable_) {
      unanswered_pulls_ = 0;
      RequestTableRead();
    }
    options_.counters->Retried(Reason::kRevisionStale);
    Send(source, EncodeConfigMessage(
                     ConfigPull{.have = Current(), .full_snapshot = !loaded_}));
  }

  void SetPlatformUnavailable(bool unavailable, const LastReason& reason) {
    if (unavailable == platform_unavailable_) return;
    platform_unavailable_ = unavailable;
    if (!unavailable) {
      options_.events->Write(
          EventId::kConfigPlatformRestored, Severity::kInfo,
          "the configuration can be read from the table again", {});
      return;
    }
    options_.events->Write(
        EventId::kConfigPlatformUnavailable, Severity::kWarning,
        "the configuration can't be read from the table; retrying",
        {{"reason", std::string(ReasonName(reason.reason()))},
         {"detail", reason.detail()}});
  }

  const Options options_;
  Inbox inbox_;
  std::atomic<bool> table_read_requested_ = false;
  ConfigReader reader_;
  RecentDeltas recent_;
  std::vector<Member> members_;
  // The snapshot that is being received from a peer.
  std::optional<PeerSnapshotBuilder> peer_snapshot_;
  InstanceId pull_source_;
  // Newest revision that a peer has announced, and that peer.
  Revision newest_announced_;
  InstanceId newest_source_;
  absl::Time started_ = absl::InfinitePast();
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time next_pull_ = absl::InfinitePast();
  int unanswered_pulls_ = 0;
  // Whether a configuration, possibly empty, was loaded from the table or from
  // a peer.
  bool loaded_ = false;
  bool platform_unavailable_ = false;
  // Whether the next table read must read all entries.
  bool full_read_needed_ = false;
};

ConfigFollower::ConfigFollower(Options options)
    : worker_(std::make_unique<Worker>(std::move(options))) {}

ConfigFollower::~ConfigFollower() = default;

absl::Duration ConfigFollower::Step() { return worker_->Step(); }

void ConfigFollower::RequestTableRead() { worker_->RequestTableRead(); }

void ConfigFollower::OnPeerMessage(const InstanceId& sender,
                                   const PeerMessage& message) {
  worker_->Receive(sender, message);
}

}  // namespace wisteriareel
