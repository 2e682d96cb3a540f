#ifndef WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_
#define WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct MemberWatchOptions {
  InstanceId self;
  // Where other instances reach this one.
  Endpoint address;
  // Time between two heartbeats. Well below the time after which the reserve
  // of prepaid tokens may be used, since they show that it wasn't.
  absl::Duration interval = absl::Milliseconds(500);
  // The more instances there are, the longer the interval: this much for each
  // of them, so that all together write at most a hundred times a second.
  absl::Duration interval_per_instance = absl::Milliseconds(10);
  // Time between two listings.
  absl::Duration listing_interval = absl::Seconds(3);
  // An instance whose heartbeat stands still for this long isn't counted:
  // longer than the platform's outages, since counting too few would let all
  // together repeat too much.
  absl::Duration silence = absl::Seconds(15);
  // An instance whose heartbeat stands still for this long is no home, unless
  // the list itself can't be read.
  absl::Duration home_silence = absl::Seconds(5);
  // Rows that stand still for this long are removed.
  absl::Duration removal = absl::Minutes(5);
  // Assumed at least while instances that start together may not have told of
  // themselves yet.
  int assumed = 16;
  absl::Duration assumed_for = absl::Seconds(5);
};

// What an instance's heartbeat says.
struct Heartbeat {
  Endpoint address;
  std::uint64_t number = 0;
  // The platform's clock when the instance was last in contact with it and
  // had used no more than is authorised.
  std::int64_t contact_ms = 0;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

std::string EncodeHeartbeat(const Heartbeat& heartbeat);
std::optional<Heartbeat> DecodeHeartbeat(const std::string& text);

// Whom MemberWatch tells and asks.
class MemberWatchOwner {
 public:
  virtual ~MemberWatchOwner() = default;

  // Gets the number of instances, this one included, whenever it was read.
  virtual void OnInstancesCounted(int count) = 0;
  // Gets the last heartbeat of this instance's earlier life, if there was
  // one, before any heartbeat of this life is written.
  virtual void OnOwnPast(const std::optional<Heartbeat>& last) = 0;
  // Returns the contact to tell of, if it has advanced.
  virtual std::optional<std::int64_t> ContactToTell() = 0;
};

// Tells the other instances of this one, and how many there are. Not
// thread-safe.
class MemberWatch {
 public:
  // The pointers outlive the watch.
  MemberWatch(MemberWatchOptions options, AsyncTable* table,
              Scheduler* scheduler, MemberWatchOwner* owner);

  void Start();

  // Removes this instance's row.
  void Leave();

  // Returns the addresses of the other instances that were last alive.
  std::vector<Endpoint> Others() const;

  // Returns those addresses, the next home of `topic` first.
  std::vector<Endpoint> RankedFor(const std::string& topic) const;

  // Returns the address of the instance that `topic` belongs to by rendezvous
  // rank, or nullopt if that is this one. Instances that know the same ones
  // agree.
  std::optional<Endpoint> HomeOf(const std::string& topic) const;

 private:
  struct Member {
    std::uint64_t version = 0;
    absl::Time changed_at;
    Endpoint address;
  };

  void Beat();
  void List();
  void ReadPast();
  void Take(const std::vector<PartitionRow>& rows);
  PartitionRowKey RowOf(const std::string& name) const;

  const MemberWatchOptions options_;
  AsyncTable* const table_;
  Scheduler* const scheduler_;
  MemberWatchOwner* const owner_;
  bool leaving_ = false;
  Heartbeat heartbeat_;
  absl::Time started_;
  int alive_ = 1;
  // When the list was asked for, and when it was last read.
  absl::Time listed_at_ = absl::InfinitePast();
  absl::Time read_at_ = absl::InfinitePast();
  std::map<std::string, Member> members_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_
