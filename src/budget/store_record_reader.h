#ifndef WISTERIAREEL_BUDGET_STORE_RECORD_READER_H_
#define WISTERIAREEL_BUDGET_STORE_RECORD_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/budget/record_batch.h"
#include "wisteriareel/object_store.h"
#include "wisteriareel/request_record.h"

namespace wisteriareel {

// Billed tokens by budget of one holder's records, apart from those of the
// batches that a grant row covers already.
struct HolderRecords {
  // One batch's sums.
  struct Batch {
    std::uint64_t number = 0;
    absl::flat_hash_map<BudgetId, Tokens> billed;
  };
  std::vector<Batch> batches;

  // Returns what batch `from` and later ones billed to `budget`.
  Tokens BilledFrom(std::uint64_t from, const BudgetId& budget) const;
};

// Reads records out of the batches in the object store. Thread-safe.
class StoreRecordReader final : public RecordReader {
 public:
  // `store` must outlive the reader.
  explicit StoreRecordReader(ObjectStore* store) : store_(store) {}

  // Looks into the batches whose names cover the time in the request id,
  // first those of the instance that made the id.
  std::optional<RequestRecord> Find(const RequestId& request,
                                    absl::Duration timeout,
                                    LastReason* reason) override;

  std::optional<std::vector<RequestRecord>> Range(absl::Time from,
                                                  absl::Time to,
                                                  absl::Duration timeout,
                                                  LastReason* reason) override;

  // Returns what the holder under grant number `grant` of `instance` billed in
  // the hours from `first` to `last`, both included.
  std::optional<HolderRecords> ReadHolder(const InstanceId& instance,
                                          std::uint64_t grant,
                                          std::int64_t first, std::int64_t last,
                                          absl::Duration timeout,
                                          LastReason* reason);

 private:
  using Visitor = std::function<void(const BatchName& name,
                                     const std::vector<RequestRecord>&)>;
  using Filter = std::function<bool(const BatchName& name)>;

  // Visits the batches under `prefix` that pass `filter`. Returns false with
  // a reason if any can't be read.
  bool Visit(const std::string& prefix, const Filter& filter,
             const Visitor& visitor, absl::Duration timeout,
             LastReason* reason);

  ObjectStore* const store_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_STORE_RECORD_READER_H_
