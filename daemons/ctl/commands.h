#ifndef WISTERIAREEL_DAEMONS_CTL_COMMANDS_H_
#define WISTERIAREEL_DAEMONS_CTL_COMMANDS_H_

#include "daemons/ctl/exit_code.h"
#include "daemons/ctl/session.h"

// Commands of wisteriareelctl, one function per command word. Each makes the
// call for the session's command line and throws UsageError for an invalid
// value.
namespace wisteriareel::ctl {

ExitCode RunCustomer(Session* session);
ExitCode RunKey(Session* session);
ExitCode RunBudget(Session* session);
ExitCode RunPool(Session* session);
ExitCode RunTarget(Session* session);
ExitCode RunRule(Session* session);
ExitCode RunPlan(Session* session);
ExitCode RunRollout(Session* session);
ExitCode RunReport(Session* session);
ExitCode RunClaim(Session* session);

// Runs the command in the session's command line.
ExitCode RunCommand(Session* session);

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_COMMANDS_H_
