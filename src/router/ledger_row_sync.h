#ifndef WISTERIAREEL_SRC_ROUTER_LEDGER_ROW_SYNC_H_
#define WISTERIAREEL_SRC_ROUTER_LEDGER_ROW_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/known_ledger_rows.h"
#include "src/router/peer_client.h"
#include "src/router/scheduler.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct LedgerRowSyncOptions {
  InstanceId self;
  // An instance that doesn't respond is asked for its rows this often.
  int collection_tries = 3;
  absl::Duration collection_timeout = absl::Milliseconds(300);
  absl::Duration collection_retry_delay = absl::Milliseconds(150);
};

// Knows the other instances.
class LedgerRowSyncOwner {
 public:
  virtual ~LedgerRowSyncOwner() = default;

  // Called when another instance knows of `era`.
  virtual void OnLedgerEra(std::uint64_t era) = 0;
  // Returns all other instances.
  virtual std::vector<Endpoint> OtherInstances() const = 0;
};

// Serializes rows for a path or a body.
std::string EncodeLedgerRows(const std::vector<KnownLedgerRow>& rows);

// Parses the result of EncodeLedgerRows. Returns nullopt if it is malformed.
std::optional<std::vector<KnownLedgerRow>> DecodeLedgerRows(
    const std::string& text);

// Shares the acknowledged rows of the prepaid ledger between instances after
// the table was restored from an older copy. Opens no connections. Not
// thread-safe.
class LedgerRowSync {
 public:
  using RowsByCustomer = std::map<CustomerId, std::vector<KnownLedgerRow>>;

  // The pointers must outlive this object.
  LedgerRowSync(LedgerRowSyncOptions options, PeerClient* client,
                Scheduler* scheduler, EventLog* log, LedgerRowSyncOwner* owner);

  // Records rows that the table showed.
  void Record(const std::vector<KnownLedgerRow>& rows);

  // Collects the states of the customers' rows that this and the other
  // instances know. `done` runs once, never from within the call.
  void Collect(const std::vector<CustomerId>& customers, std::uint64_t era,
               std::function<void(const RowsByCustomer&)> done);

  // Returns the response to a request of another instance; nullopt if `path`
  // isn't one of this class's paths or is malformed.
  std::optional<std::string> HandlePeerRequest(const std::string& path);

 private:
  struct Collection;

  void AskForRows(const std::shared_ptr<Collection>& collection,
                  const Endpoint& peer, int tries);
  void CompleteAnswer(const std::shared_ptr<Collection>& collection);
  std::optional<std::string> HandleCollection(const std::string& query);

  const LedgerRowSyncOptions options_;
  PeerClient* const client_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  LedgerRowSyncOwner* const owner_;
  KnownLedgerRows rows_;
};

// Path of a request for known rows, followed by the sender's era, its name and
// the customers, separated by slashes.
inline constexpr char kPeerKnownRowsPath[] = "/peer/known-rows/";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_LEDGER_ROW_SYNC_H_
