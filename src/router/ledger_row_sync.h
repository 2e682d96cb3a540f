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
  // Instances that receive each committed row, and the times that others are
  // chosen if none of them responds.
  int copies = 3;
  int copy_rounds = 3;
  absl::Duration copy_timeout = absl::Milliseconds(200);
  // An instance that didn't respond isn't waited for during this time.
  absl::Duration unresponsive_backoff = absl::Seconds(5);
  // An instance that doesn't respond is asked for its rows this often.
  int collection_tries = 3;
  absl::Duration collection_timeout = absl::Milliseconds(300);
  absl::Duration collection_retry_delay = absl::Milliseconds(150);
};

// Knows the other instances and the era of the ledger.
class LedgerRowSyncOwner {
 public:
  virtual ~LedgerRowSyncOwner() = default;

  // Returns the newest era that this instance knows of.
  virtual std::uint64_t LedgerEra() const = 0;
  // Called when another instance knows of `era`.
  virtual void OnLedgerEra(std::uint64_t era) = 0;
  // Returns the other instances, ordered by their rank for the customer.
  virtual std::vector<Endpoint> RankInstances(
      const CustomerId& customer) const = 0;
  // Returns all other instances.
  virtual std::vector<Endpoint> OtherInstances() const = 0;
};

// Serializes rows for a path or a body.
std::string EncodeLedgerRows(const std::vector<KnownLedgerRow>& rows);

// Parses the result of EncodeLedgerRows. Returns nullopt if it is malformed.
std::optional<std::vector<KnownLedgerRow>> DecodeLedgerRows(
    const std::string& text);

// Shares the acknowledged rows of the prepaid ledger between instances, so that
// a row is known after its writer has ended and the table was restored from an
// older copy. Opens no connections. Not thread-safe.
class LedgerRowSync {
 public:
  using RowsByCustomer = std::map<CustomerId, std::vector<KnownLedgerRow>>;

  // The pointers must outlive this object.
  LedgerRowSync(LedgerRowSyncOptions options, PeerClient* client,
                Scheduler* scheduler, EventLog* log, LedgerRowSyncOwner* owner);

  // Records rows that the table showed.
  void Record(const std::vector<KnownLedgerRow>& rows);

  // Records rows that the table has just acknowledged, at least one, and copies
  // them to other instances. `done` runs once, never from within the
  // call: with false if another instance knows of a later era, so that the
  // acknowledgement is void. Otherwise each of the chosen instances has
  // recorded the rows or didn't respond.
  void Copy(const std::vector<KnownLedgerRow>& rows,
            std::function<void(bool)> done);

  // Collects the states of the customers' rows that this and the other
  // instances know. `done` runs once, never from within the call.
  void Collect(const std::vector<CustomerId>& customers, std::uint64_t era,
               std::function<void(const RowsByCustomer&)> done);

  // Copies all rows to other instances, before this one leaves.
  void HandOver();

  // Returns the response to a request of another instance; nullopt if `path`
  // isn't one of this class's paths or is malformed.
  std::optional<std::string> HandlePeerRequest(const std::string& path);

 private:
  struct CopyRound;
  struct Collection;

  void StartCopyRound(const std::shared_ptr<CopyRound>& round);
  bool IsUnresponsive(const Endpoint& peer) const;
  // `done` gets the receiver's era, or nullopt if the rows weren't accepted.
  void SendCopy(const Endpoint& peer, const std::string& path,
                std::function<void(std::optional<std::uint64_t>)> done);
  void CompleteCopy(const std::shared_ptr<CopyRound>& round);
  void StartCollection(std::vector<CustomerId> customers,
                       const std::string& query, std::uint64_t era,
                       std::function<void(const RowsByCustomer&)> done);
  void AskForRows(const std::shared_ptr<Collection>& collection,
                  const Endpoint& peer, int tries);
  void CompleteAnswer(const std::shared_ptr<Collection>& collection);
  std::string HandleCopy(std::uint64_t era,
                         const std::vector<KnownLedgerRow>& rows);
  std::optional<std::string> HandleCollection(const std::string& query);

  const LedgerRowSyncOptions options_;
  PeerClient* const client_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  LedgerRowSyncOwner* const owner_;
  KnownLedgerRows rows_;
  std::map<Endpoint, absl::Time> unresponsive_until_;
};

// Path of rows to record, followed by the sender's era, a slash and the rows.
inline constexpr char kPeerRowCopyPath[] = "/peer/row-copy/";
// Path of a request for known rows, followed by the sender's era, its name and
// the customers, separated by slashes.
inline constexpr char kPeerKnownRowsPath[] = "/peer/known-rows/";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_LEDGER_ROW_SYNC_H_
