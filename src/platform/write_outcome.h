#ifndef WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_
#define WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_

#include "src/platform/platform_client.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Returns what a reply proves about a write. A status alone proves nothing:
// something between may have made it up after the service did the work.
CommitOutcome CommitOutcomeFromReply(const PlatformReply& reply);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_WRITE_OUTCOME_H_
