#ifndef WISTERIAREEL_TEST_FAKE_PARTITION_H_
#define WISTERIAREEL_TEST_FAKE_PARTITION_H_

#include <cstdint>
#include <map>

#include "src/forward/route_config.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The customer of the tests of PrepaidLedger.
inline const CustomerId kCustomer("c");
// The rows of one partition. Callers simulate lost requests, lost replies and
// late writes.
class FakePartition {
 public:
  CommitReply Commit(const PartitionTransaction& transaction) {
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      const TableVersion version =
          it == rows_.end() ? TableVersion{} : it->second.version;
      if (version != condition.version) return Conflict(transaction);
    }
    ++version_;
    for (const PartitionRowWrite& write : transaction.writes) {
      rows_[write.key] = {.key = write.key,
                          .value = *write.value,
                          .version = {.number = version_}};
    }
    return {.outcome = CommitOutcome::kCommitted,
            .version = {.number = version_}};
  }

 private:
  CommitReply Conflict(const PartitionTransaction& transaction) const {
    CommitReply reply{.outcome = CommitOutcome::kConflict};
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      if (it != rows_.end()) reply.current.push_back(it->second);
    }
    return reply;
  }

  std::uint64_t version_ = 0;
  std::map<PartitionRowKey, PartitionRow> rows_;
};

inline RouteConfig MakeConfig(std::int64_t prepaid) {
  return {.revision = Revision(1),
          .customers = {{.id = kCustomer, .prepaid = Tokens(prepaid)}}};
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_FAKE_PARTITION_H_
