#ifndef WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_
#define WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_

#include "grpcpp/grpcpp.h"

namespace wisteriareel::ctl {

// Exit codes of wisteriareelctl. They are part of its interface for scripts.
// After kUnavailable, a retry must use the same --order.
enum class ExitCode : int {
  kDone = 0,
  kFailed = 1,       // Any other failure.
  kUsage = 2,        // Invalid command line; nothing was sent.
  kRefused = 3,      // No valid credential, or the role lacks the permission.
  kNotFound = 4,     // The entry or request doesn't exist.
  kConflict = 5,     // A concurrent order was accepted first; nothing changed.
  kUnavailable = 6,  // No response; the order may have been accepted.
  kInvalid = 7,      // The server rejected the order as invalid.
  kRolloutIncomplete = 8,  // Accepted; not in force everywhere in time.
};

ExitCode ExitCodeFromStatus(const grpc::Status& status);

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_
