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
#include "src/config/peer_copy.h"
#include "wisteriareel/rendezvous.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kShortestPause = absl::Milliseconds(5);
// Unanswered pulls after which any instance reads the table out of turn.
constexpr int kPullsBeforeTable = 2;
constexpr double kPollJitter = 0.1;

struct Inbound {
  InstanceId sender;
  ConfigMessage message;
};

// Messages that wait for the worker. Thread-safe.
class Inbox {
 public:
  explicit Inbox(std::size_t limit) : limit_(limit) {}

  // Returns false if the inbox is full.
  bool Put(Inbound inbound) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.size() >= limit_) return false;
    waiting_.push_back(std::move(inbound));
    return true;
  }

  std::deque<Inbound> TakeAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(waiting_, {});
  }

 private:
  const std::size_t limit_;
  std::mutex mutex_;
  std::deque<Inbound> waiting_;
};

}  // namespace

// All but the inbox and the flag belongs to the thread that runs Step.
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
    for (const Inbound& inbound : inbox_.TakeAll()) Handle(inbound);
    if (read_soon_.exchange(false) || options_.clock->Now() >= next_poll_) {
      PollTable();
    }
    if (PullDue()) Pull();
    const absl::Time now = options_.clock->Now();
    return std::clamp(next_poll_ - now, kShortestPause, options_.max_pause);
  }

  void RequestTableRead() { read_soon_ = true; }

  void Receive(const InstanceId& sender, const PeerMessage& message) {
    auto decoded = DecodeConfigMessage(message);
    if (!decoded) {
      options_.counters->Refused(Reason::kPeerFrameMalformed);
      return;
    }
    if (!inbox_.Put({sender, *std::move(decoded)})) {
      options_.counters->Refused(Reason::kQueueFull);
      return;
    }
    if (options_.wake) options_.wake();
  }

 private:
  Revision Current() const { return options_.config->Snapshot()->revision(); }

  // Returns this instance's rank among `members`.
  std::size_t RankAmong(const std::vector<InstanceId>& members) const {
    return RendezvousRank(absl::StrCat("config/", options_.zone.value()),
                          options_.self, members);
  }

  // Returns this instance's rank among the zone's instances that are heard.
  std::size_t Rank(std::vector<InstanceId>* heard) const {
    heard->clear();
    for (const Member& member : members_) {
      if (member.zone != options_.zone) continue;
      const bool counts =
          member.state == MemberState::kAlive || member.id == options_.self;
      if (counts) heard->push_back(member.id);
    }
    return RankAmong(*heard);
  }

  // Returns whether an instance with empty memory still waits for a copy from
  // a peer of its zone. A whole read costs the table as many rows as there
  // are entries, and many instances start on an ordinary day. Those that
  // read the table for the others wait less, so that a zone that starts from
  // nothing costs two whole reads.
  bool WaitsForPeers() const {
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
    std::vector<InstanceId> heard;
    // An instance that hears of no one, itself included, reads for itself.
    return Rank(&heard) < options_.readers || heard.empty();
  }

  void PollTable() {
    const absl::Time now = options_.clock->Now();
    LastReason reason;
    const auto head = ReadTable(&reason);
    SetPlatformAway(!head, reason);
    if (head && loaded_ && Current() >= *head) options_.config->Confirm(now);
    absl::Duration pause = options_.retry_poll;
    if (head && loaded_) {
      pause = IsReader() ? options_.reader_poll : options_.fallback_poll;
    }
    const double jitter =
        1 + kPollJitter * (2 * options_.random->Fraction() - 1);
    next_poll_ = options_.clock->Now() + pause * jitter;
  }

  // Brings the configuration up to the table's revision, which it returns.
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
          "the table states an older revision than is in force",
          {{"table", absl::StrCat(head.revision.value())},
           {"in_force", absl::StrCat(current.value())}});
      reason->Set(Reason::kRevisionStale, "head row");
      return false;
    }
    if (head.revision == current) {
      loaded_ = true;
      return true;
    }
    if (!loaded_ && WaitsForPeers()) return true;
    if (!loaded_ || read_whole_) return ReadSnapshot(reason);
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
    auto whole = reader_.ReadSnapshot(options_.table_timeout, reason);
    if (whole == nullptr) return false;
    read_whole_ = false;
    options_.events->Write(EventId::kConfigFullyRead, Severity::kInfo,
                           "all entries were read",
                           {{"entries", absl::StrCat(whole->size())}});
    Publish(std::move(whole), ConfigOrigin::kPlatform);
    return true;
  }

  void Publish(std::shared_ptr<const ImmutableConfigSnapshot> next,
               ConfigOrigin origin) {
    const Revision before = Current();
    const Revision revision = next->revision();
    if (!options_.config->Publish(std::move(next), origin)) return;
    loaded_ = true;
    copy_.reset();
    pulls_ = 0;
    options_.counters->Add(Counter::kConfigChangesApplied,
                           revision.value() - before.value());
    if (before != Revision()) return;
    options_.events->Write(
        EventId::kConfigLoaded, Severity::kInfo, "configuration in force",
        {{"revision", absl::StrCat(revision.value())},
         {"from", origin == ConfigOrigin::kPlatform ? "platform" : "peer"}});
  }

  // Applies what follows without a gap. Returns false if a delta contradicts
  // its digest; nothing of it is then in force.
  bool ApplyAll(const std::vector<ConfigDelta>& deltas, ConfigOrigin origin) {
    auto snapshot = options_.config->Snapshot();
    for (const ConfigDelta& delta : deltas) {
      if (delta.revision <= snapshot->revision()) continue;
      if (delta.revision != snapshot->revision().Next()) break;
      auto next = snapshot->Apply(delta);
      if (next == nullptr) {
        options_.events->Write(
            EventId::kConfigDigestMismatch, Severity::kError,
            "a change leads to another digest than stated",
            {{"revision", absl::StrCat(delta.revision.value())}});
        read_whole_ = true;
        RequestTableRead();
        return false;
      }
      recent_.Add(delta);
      snapshot = std::move(next);
    }
    Publish(std::move(snapshot), origin);
    return true;
  }

  // Sends `deltas` to this reader's share of the zone.
  void Push(const std::vector<ConfigDelta>& deltas) {
    std::vector<InstanceId> heard;
    const std::size_t rank = Rank(&heard);
    const std::size_t readers = std::min(options_.readers, heard.size());
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

  void Handle(const Inbound& inbound) {
    std::visit([&](const auto& message) { On(inbound.sender, message); },
               inbound.message);
  }

  void On(const InstanceId& sender, const RevisionNotice& note) {
    if (note.revision <= newest_heard_) return;
    newest_heard_ = note.revision;
    newest_source_ = sender;
  }

  void On(const InstanceId& sender, const ConfigPull& pull) {
    const auto member = options_.membership->FindMember(sender);
    if (!member || Current() == Revision()) return;
    if (!pull.whole && pull.have >= Current()) return;
    if (!pull.whole) {
      if (auto deltas = recent_.After(pull.have); deltas) {
        Send(*member,
             EncodeConfigMessage(ConfigDeltas{Current(), *std::move(deltas)}));
        return;
      }
    }
    Send(*member, EncodeConfigMessage(PartFor(*options_.config->Snapshot(),
                                              pull, options_.chunk_entries)));
  }

  void On(const InstanceId& sender, const ConfigDeltas& message) {
    On(sender, RevisionNotice{message.newest});
    ApplyAll(message.deltas, ConfigOrigin::kPeer);
  }

  void On(const InstanceId& sender, const ConfigChunk& part) {
    if (part.revision <= Current()) return;
    if (!copy_ || copy_->source() != sender) {
      // The first part may come in answer to a request for deltas.
      if (sender != pulled_from_) return;
      copy_.emplace(sender);
    }
    auto whole = copy_->Add(part);
    if (whole != nullptr) {
      Publish(std::move(whole), ConfigOrigin::kPeer);
      return;
    }
    // A last part that makes no whole copy: the next pull starts again.
    if (part.last) copy_.reset();
    const auto member = options_.membership->FindMember(sender);
    if (!member || !copy_) return;
    pulls_ = 0;
    next_pull_ = options_.clock->Now() + options_.pull_retry;
    Send(*member, EncodeConfigMessage(copy_->NextPull()));
  }

  // Returns the members to pull from: those with a newer revision, of this
  // zone if there are any; any member if nothing was ever loaded.
  std::vector<const Member*> Sources() const {
    std::vector<const Member*> near;
    std::vector<const Member*> far;
    const Revision current = Current();
    for (const Member& member : members_) {
      if (member.id == options_.self) continue;
      if (member.state == MemberState::kDead) continue;
      const bool newer =
          member.revision > current ||
          (member.id == newest_source_ && newest_heard_ > current);
      if (!newer && loaded_) continue;
      (member.zone == options_.zone ? near : far).push_back(&member);
    }
    return near.empty() ? far : near;
  }

  bool PullDue() const {
    if (options_.clock->Now() < next_pull_) return false;
    // A reader that reaches the table has no need of peers.
    return !loaded_ || platform_unavailable_ || !IsReader();
  }

  void Pull() {
    const auto sources = Sources();
    if (sources.empty()) return;
    const Member& source = *sources[options_.random->Below(sources.size())];
    copy_.reset();
    pulled_from_ = source.id;
    next_pull_ = options_.clock->Now() + options_.pull_retry;
    if (++pulls_ > kPullsBeforeTable && !platform_unavailable_) {
      pulls_ = 0;
      RequestTableRead();
    }
    options_.counters->Retried(Reason::kRevisionStale);
    Send(source,
         EncodeConfigMessage(ConfigPull{.have = Current(), .whole = !loaded_}));
  }

  void SetPlatformAway(bool away, const LastReason& reason) {
    if (away == platform_unavailable_) return;
    platform_unavailable_ = away;
    if (!away) {
      options_.events->Write(EventId::kConfigPlatformRestored, Severity::kInfo,
                             "the table can be read again", {});
      return;
    }
    options_.events->Write(
        EventId::kConfigPlatformUnavailable, Severity::kWarning,
        "the configuration can't be read from the table",
        {{"reason", std::string(ReasonName(reason.reason()))},
         {"detail", reason.detail()}});
  }

  const Options options_;
  Inbox inbox_;
  std::atomic<bool> read_soon_ = false;
  ConfigReader reader_;
  RecentDeltas recent_;
  std::vector<Member> members_;
  std::optional<PeerCopy> copy_;
  InstanceId pulled_from_;
  Revision newest_heard_;
  InstanceId newest_source_;
  absl::Time started_ = absl::InfinitePast();
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time next_pull_ = absl::InfinitePast();
  int pulls_ = 0;
  // Whether the platform or a peer has said what is in force, be it nothing.
  bool loaded_ = false;
  bool platform_unavailable_ = false;
  bool read_whole_ = false;
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
