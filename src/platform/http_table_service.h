#ifndef WISTERIAREEL_SRC_PLATFORM_HTTP_TABLE_SERVICE_H_
#define WISTERIAREEL_SRC_PLATFORM_HTTP_TABLE_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "src/platform/platform_client.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// The platform's table service over HTTP. Commit returns kRejected only if
// nothing was sent or the service reported that it didn't attempt the
// transaction. Thread-safe.
class HttpTableService final : public TableService {
 public:
  // `counters` must outlive the service.
  explicit HttpTableService(PlatformClientOptions options,
                            Counters* counters = DiscardCounters());

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override;
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override;
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override;

 private:
  std::optional<std::vector<Row>> Fetch(const std::string& path,
                                        const std::optional<std::string>& body,
                                        absl::Duration timeout,
                                        LastReason* reason);

  PlatformClient client_;
  Counters* const counters_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_HTTP_TABLE_SERVICE_H_
