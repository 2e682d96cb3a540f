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

// Billed tokens of one holder's records by batch and budget. The batches are
// kept separate, because a grant row already covers some of them.
struct HolderRecords {
  // Sums over one batch.
  struct Batch {
    std::uint64_t number = 0;
    absl::flat_hash_map<BudgetId, Tokens> billed;
  };
  std::vector<Batch> batches;

  // Returns the tokens that batch `from` and later batches billed to `budget`.
  Tokens BilledFrom(std::uint64_t from, const BudgetId& budget) const;
};

// Reads records from the batches in the object store. Thread-safe.
class StoreRecordReader final : public RecordReader {
 public:
  // `store` must outlive the reader.
  explicit StoreRecordReader(ObjectStore* store) : store_(store) {}

  // Searches the batches whose names cover the creation time in the request
  // id, beginning with the instance that generated the id.
  std::optional<RequestRecord> Find(const RequestId& request,
                                    absl::Duration timeout,
                                    LastReason* reason) override;

  std::optional<std::vector<RequestRecord>> Range(absl::Time from,
                                                  absl::Time to,
                                                  absl::Duration timeout,
                                                  LastReason* reason) override;

  // Returns the tokens that the holder with grant number `grant` of `instance`
  // billed from hour `first` to hour `last`, both inclusive.
  std::optional<HolderRecords> ReadHolder(const InstanceId& instance,
                                          std::uint64_t grant,
                                          std::int64_t first, std::int64_t last,
                                          absl::Duration timeout,
                                          LastReason* reason);

 private:
  using Visitor = std::function<void(const BatchName& name,
                                     const std::vector<RequestRecord>&)>;
  using Filter = std::function<bool(const BatchName& name)>;

  // Visits the batches under `prefix` that pass `filter`. Returns false with a
  // reason if one of them cannot be read.
  bool Visit(const std::string& prefix, const Filter& filter,
             const Visitor& visitor, absl::Duration timeout,
             LastReason* reason);

  ObjectStore* const store_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_STORE_RECORD_READER_H_
