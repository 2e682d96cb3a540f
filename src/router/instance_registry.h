#ifndef WISTERIAREEL_SRC_ROUTER_INSTANCE_REGISTRY_H_
#define WISTERIAREEL_SRC_ROUTER_INSTANCE_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/prepaid_ledger.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct InstanceRegistryOptions {
  InstanceId self;
  // Id of this incarnation of the instance; never reused, without blanks.
  std::string incarnation;
  // Address for calls by other instances.
  Endpoint address;
  // Time between two heartbeats. A heartbeat shows that the reserve of prepaid
  // tokens was not used, so this stays well below the time after which the
  // reserve may be used.
  absl::Duration heartbeat_interval = absl::Milliseconds(500);
  // The interval is at least this long per instance, so that all instances
  // together write at most 100 heartbeats per second.
  absl::Duration heartbeat_interval_per_instance = absl::Milliseconds(10);
  // Time between two reads of all heartbeats.
  absl::Duration listing_interval = absl::Seconds(3);
  // An instance whose heartbeat doesn't change for this long isn't counted.
  // Longer than the platform's outages: if too few instances were counted,
  // all of them together would exceed the retry limit.
  absl::Duration alive_timeout = absl::Seconds(15);
  // An instance whose heartbeat doesn't change for this long is no home
  // instance. Doesn't apply while the heartbeats can't be read or written.
  absl::Duration home_timeout = absl::Seconds(5);
  // Time after the first heartbeat of this instance at which those of others
  // that started with it are read.
  absl::Duration first_listing_delay = absl::Milliseconds(600);
  // Heartbeat rows that don't change for this long are deleted.
  absl::Duration removal_timeout = absl::Minutes(5);
  // Minimum count after the start, since instances that start at the same time
  // may not have written a heartbeat yet.
  int assumed_instances = 16;
  absl::Duration assumed_duration = absl::Seconds(5);
};

// The heartbeat that an instance writes to its row.
struct InstanceHeartbeat {
  Endpoint address;
  std::uint64_t number = 0;
  // The platform's clock, in milliseconds, at the last response of the platform
  // up to which the instance had used no more tokens than authorized.
  std::int64_t contact_ms = 0;
  // The incarnation that wrote the heartbeat. Empty if an old build wrote it.
  std::string incarnation;
  // The incarnations before it, newest first.
  std::vector<EndedIncarnation> ended;

  friend bool operator==(const InstanceHeartbeat&,
                         const InstanceHeartbeat&) = default;
};

std::string EncodeInstanceHeartbeat(const InstanceHeartbeat& heartbeat);
std::optional<InstanceHeartbeat> DecodeInstanceHeartbeat(
    const std::string& text);

// Receives the events of an InstanceRegistry and supplies data for its
// heartbeats.
class InstanceRegistryOwner {
 public:
  virtual ~InstanceRegistryOwner() = default;

  // Called with the number of instances, including this one, after each read.
  virtual void OnInstancesCounted(int count) = 0;
  // Called with the last heartbeat of this instance's previous incarnation, or
  // nullopt if there was none, before this incarnation writes its first one.
  virtual void OnPreviousIncarnation(
      const std::optional<InstanceHeartbeat>& last) = 0;
  // Returns the new value of InstanceHeartbeat::contact_ms, or nullopt if it
  // is unchanged.
  virtual std::optional<std::int64_t> ContactToReport() = 0;
  // Returns the incarnations that the heartbeat lists, newest first.
  virtual std::vector<EndedIncarnation> EndedIncarnations() = 0;
  // Called with the names of the live instances, including this one, after each
  // read, and when the heartbeats start or stop being acknowledged. `confirmed`
  // is false while they aren't: the others may count this instance as gone.
  virtual void OnInstancesListed(const std::vector<std::string>& names,
                                 bool confirmed) = 0;
  // Called with the report of an instance on the rate limits of targets, as
  // read.
  virtual void OnRateLimitReport(const std::string& instance,
                                 const std::string& report) = 0;
  // Returns this instance's report, empty if there is none. It is written with
  // a heartbeat when it changes.
  virtual std::string RateLimitReport() = 0;
};

// Announces this instance to the others by heartbeats and tracks the other
// instances by theirs. Not thread-safe.
class InstanceRegistry {
 public:
  // The pointers must outlive the registry.
  InstanceRegistry(InstanceRegistryOptions options, AsyncTable* table,
                   Scheduler* scheduler, InstanceRegistryOwner* owner);

  void Start();

  // Deletes this instance's rows.
  void Leave();

  // Returns the addresses of the other instances, as of the last read.
  std::vector<Endpoint> OtherInstances() const;

  // Returns the same addresses, ordered by the rendezvous rank for `key`,
  // highest first.
  std::vector<Endpoint> RankInstances(const std::string& key) const;

  // Returns the address of the home instance of `key`, which has the highest
  // rendezvous rank of those that `is_usable` accepts, or nullopt if that is
  // this instance. Instances that know the same instances agree.
  std::optional<Endpoint> FindHomeInstance(
      const std::string& key,
      const std::function<bool(const Endpoint&)>& is_usable) const;

  // Returns the address of another instance, or nullopt if it isn't listed.
  std::optional<Endpoint> FindAddress(const std::string& name) const;

 private:
  struct Member {
    // The heartbeat that was read last.
    std::string incarnation;
    std::uint64_t number = 0;
    absl::Time changed_at;
    Endpoint address;
  };

  void WriteHeartbeat();
  void ListInstances();
  void ReadPreviousHeartbeat();
  void ApplyRows(const std::vector<PartitionRow>& rows);
  void ReportInstances();
  // Returns true if heartbeats that don't change show that their instances are
  // gone, and not that the platform took no writes.
  bool IsWritable() const;
  PartitionRowKey RowOf(const std::string& name) const;
  // The row with the report of an instance on the rate limits of targets.
  PartitionRowKey ReportRowOf(const std::string& name) const;

  const InstanceRegistryOptions options_;
  AsyncTable* const table_;
  Scheduler* const scheduler_;
  InstanceRegistryOwner* const owner_;
  bool leaving_ = false;
  InstanceHeartbeat heartbeat_;
  absl::Time started_;
  int alive_ = 1;
  // Start of the last read of the heartbeats, and end of the last successful
  // one.
  absl::Time listed_at_ = absl::InfinitePast();
  absl::Time read_at_ = absl::InfinitePast();
  // Time since which all heartbeats were acknowledged. While the platform takes
  // no writes, the heartbeats of others don't change either.
  absl::Time acknowledged_since_ = absl::InfiniteFuture();
  std::map<std::string, Member> members_;
  // Era of the table, and the time at which it rose.
  std::uint64_t era_ = 0;
  absl::Time restored_at_ = absl::InfinitePast();
  // The report that this instance's row holds; unset if that isn't known.
  std::optional<std::string> written_report_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_INSTANCE_REGISTRY_H_
