#ifndef WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_
#define WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_

#include "src/platform/platform_client.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Returns the outcome of a write that `reply` proves. The HTTP status isn't
// used: an intermediary may have generated it after the service committed the
// write.
CommitOutcome CommitOutcomeFromReply(const PlatformReply& reply);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_
