#ifndef WISTERIAREEL_DAEMONS_CTL_USAGE_H_
#define WISTERIAREEL_DAEMONS_CTL_USAGE_H_

namespace wisteriareel::ctl {

// The command line, in docopt's language.
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
             Show and change the configuration. Lists come from the instance
             that answers; show reads what was accepted last.
  key create, key rotate
             Print the secret; it is not stored and can't be shown again.
  rollout    Say which instance has which revision in force, or wait until
             all have <revision>.
  status     Show the instance that answers.
  drain      Start the graceful shutdown of the instance that answers.
  request    Say what became of a request.
  report     Sum what was run and refused, why, and what was billed. TIME is
             RFC 3339, or a duration before now such as 12h.
  claim      Show non-idempotent requests that may have run, and settle them
             after asking the owner of the target.
  token      Make an operator's token and the digest for the settings; calls
             no instance.

Options:
  --server=ADDRESS    IP number and port of an instance; else from
                      WISTERIAREEL_SERVER, else 127.0.0.1:8081.
  --token-file=FILE   File with the operator's token; else from
                      WISTERIAREEL_TOKEN.
  --ca=FILE           Authorities of the server's certificate; turns TLS on.
  --certificate=FILE  Own certificate, if the server asks for one.
  --certificate-key=FILE  Private key of it.
  --order=ID          Order id. To repeat an order whose answer was lost, give
                      the id that was printed.
  --expect=VERSION    Change an entry only if it has this version.
  --wait              After a change, wait until it is in force everywhere.
  --timeout=DURATION  Longest wait for an answer [default: 10s].
  --json              Print JSON instead of tables.
  -h --help           Show this text.
  --version           Show the version.

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 credential refused;
4 not found; 5 another order won, nothing changed; 6 no answer, repeat with
the same --order; 7 order refused as wrong; 8 accepted, but not in force
everywhere in time.
)";

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_USAGE_H_
