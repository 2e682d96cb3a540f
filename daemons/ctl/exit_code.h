#ifndef WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_
#define WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_

#include "grpcpp/grpcpp.h"

namespace wisteriareel::ctl {

// How the client ends; part of its interface, so that scripts can rely on it.
enum class ExitCode : int {
  kDone = 0,
  kFailed = 1,       // None of the below.
  kUsage = 2,        // The command line is wrong; nothing was sent.
  kRefused = 3,      // No valid credential, or too low a role.
  kNotFound = 4,     // The entry or request is not known.
  kConflict = 5,     // Another order won; nothing was changed.
  kUnavailable = 6,  // No answer; the order may have been accepted. Repeat it
                     // with the same --order.
  kInvalid = 7,      // The server finds the order wrong; nothing was changed.
  kRolloutIncomplete = 8,  // Accepted, but not in force everywhere in time.
};

// Returns the exit code for the status of a call.
ExitCode ExitCodeFromStatus(const grpc::Status& status);

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_EXIT_CODE_H_
