#ifndef WISTERIAREEL_DAEMONS_CTL_USAGE_H_
#define WISTERIAREEL_DAEMONS_CTL_USAGE_H_

namespace wisteriareel::ctl {

// Usage text, parsed by docopt.
inline constexpr char kUsage[] =
    R"(wisteriareelctl operates a fleet of wisteriareel instances.

Usage:
  wisteriareelctl [options] customer create <id> [--name=TEXT] [--weight=N]
  wisteriareelctl [options] customer update <id> [--name=TEXT] [--weight=N]
  wisteriareelctl [options] customer (suspend|resume|show) <id>
  wisteriareelctl [options] customer list
  wisteriareelctl [options] key create <customer> <budget>
  wisteriareelctl [options] key rotate <key> [--keep-old]
  wisteriareelctl [options] key revoke <key>
  wisteriareelctl [options] key list [<customer>]
  wisteriareelctl [options] budget create <id> <customer>
  wisteriareelctl [options] budget topup <id> <tokens>
  wisteriareelctl [options] budget (freeze|unfreeze|show|history) <id>
  wisteriareelctl [options] budget list [<customer>]
  wisteriareelctl [options] pool put <id> --model=NAME... [--max-in-flight=N] [--output-limit=N]
  wisteriareelctl [options] pool put <id> --path=PREFIX [--max-in-flight=N] [--call-tokens=N]
  wisteriareelctl [options] pool (remove|show) <id>
  wisteriareelctl [options] pool list
  wisteriareelctl [options] target add <id> <pool> <region> <zone> <host> <port> [--checks-fencing]
  wisteriareelctl [options] target (drain|undrain|remove|show) <id>
  wisteriareelctl [options] target list [<pool>]
  wisteriareelctl [options] rule put <id> <pool> <method> <path> (--idempotent|--non-idempotent)
  wisteriareelctl [options] rule (remove|show) <id>
  wisteriareelctl [options] rule list [<pool>]
  wisteriareelctl [options] plan put <pool> [--model=NAME...] [--adapter=NAME...] [--model-version=TEXT] [--role=ROLE]
  wisteriareelctl [options] plan (remove|show) <pool>
  wisteriareelctl [options] plan list
  wisteriareelctl [options] rollout show
  wisteriareelctl [options] rollout wait <revision>
  wisteriareelctl [options] status
  wisteriareelctl [options] drain <instance>
  wisteriareelctl [options] request <id>
  wisteriareelctl [options] report --from=TIME [--to=TIME] [--customer=ID]
  wisteriareelctl [options] claim list [--in-doubt]
  wisteriareelctl [options] claim resolve <customer> <key> (ran|not-run)
  wisteriareelctl [options] token
  wisteriareelctl (-h | --help)
  wisteriareelctl --version

Commands:
  customer, key, budget, pool, target, rule, plan
             Show and change the configuration. Lists show the revision in
             force on the instance called; show reads the latest accepted entry.
  key create, key rotate
             Print the secret; it is not stored and can't be shown again.
  rollout    Show the revision in force on each instance, or wait until all
             have <revision>.
  status     Show the status of the instance called.
  drain      Start the graceful shutdown of the instance called.
  request    Show the outcome of a request.
  report     Sum the requests run and refused, the reasons, and the tokens
             billed. TIME is RFC 3339, or a duration before now such as 12h.
  claim      Show non-idempotent requests that may have run, and settle them
             after asking the owner of the target.
  token      Generate an operator's token and its digest for the settings; calls
             no instance.

Options:
  --server=ADDRESS    IP address and port of an instance; else from
                      WISTERIAREEL_SERVER, else 127.0.0.1:8081.
  --token-file=FILE   File with the operator's token; else from
                      WISTERIAREEL_TOKEN.
  --ca=FILE           CA certificates to verify the server; enables TLS.
  --certificate=FILE  Client certificate, if the server requests one.
  --certificate-key=FILE  Private key of the client certificate.
  --order=ID          Order id. To retry an order whose response was lost, give
                      the id that was printed.
  --expect=VERSION    Change an entry only if it has this version.
  --wait              After a change, wait until all instances have it in force.
  --timeout=DURATION  Timeout of a call, with its retries [default: 10s].
  --json              Print JSON instead of tables.
  -h --help           Show this text.
  --version           Show the version.

Exit codes: 0 success; 1 failure; 2 invalid command line; 3 credential refused;
4 not found; 5 conflict with another order, nothing changed; 6 no response,
retry with the same --order; 7 order rejected as invalid; 8 accepted, but not
in force on all instances within the timeout.
)";

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_USAGE_H_
