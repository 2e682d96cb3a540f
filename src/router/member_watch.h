#ifndef WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_
#define WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
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
  // Time between two heartbeats, each a write and a listing.
  absl::Duration interval = absl::Seconds(3);
  // An instance whose heartbeat stands still for this long isn't counted:
  // longer than the platform's outages, since counting too few would let all
  // together repeat too much.
  absl::Duration silence = absl::Seconds(15);
  // Rows that stand still for this long are removed.
  absl::Duration removal = absl::Minutes(5);
  // Assumed until the instances were listed.
  int assumed = 16;
};

// Tells the other instances of this one, and how many there are. Not
// thread-safe.
class MemberWatch {
 public:
  // The pointers outlive the watch. `counted` gets the number of instances,
  // this one included, whenever it was read.
  MemberWatch(MemberWatchOptions options, AsyncTable* table,
              Scheduler* scheduler, std::function<void(int)> counted);

  void Start();

  // Removes this instance's row.
  void Leave();

  // Returns the addresses of the other instances that were last alive.
  std::vector<Endpoint> Others() const;

 private:
  struct Member {
    std::uint64_t version = 0;
    absl::Time changed_at;
    Endpoint address;
  };

  void Beat();
  void List();
  void Take(const std::vector<PartRow>& rows);
  PartRowKey RowOf(const std::string& name) const;

  const MemberWatchOptions options_;
  AsyncTable* const table_;
  Scheduler* const scheduler_;
  const std::function<void(int)> counted_;
  bool leaving_ = false;
  std::uint64_t beats_ = 0;
  std::map<std::string, Member> members_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_MEMBER_WATCH_H_
