#ifndef WISTERIAREEL_SRC_ROUTER_PEER_HELP_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_HELP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "src/forward/request_router.h"
#include "src/router/config_watch.h"
#include "src/router/scheduler.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct PeerHelpOptions {
  // Time between two rounds of questions while the platform is away.
  absl::Duration interval = absl::Milliseconds(400);
  absl::Duration timeout = absl::Milliseconds(600);
  // Instances asked in a round; some of them may be turned away as well.
  int fanout = 2;
};

// Asks other instances for the configuration while the platform doesn't
// answer this one. Not thread-safe.
class PeerHelp {
 public:
  // The pointers outlive this. `needed` says whether help is needed, and
  // `peers` whom to ask.
  PeerHelp(PeerHelpOptions options, boost::asio::io_context* io,
           Scheduler* scheduler, RandomSource* random, RequestRouter* router,
           ConfigWatch* config, std::function<bool()> needed,
           std::function<std::vector<Endpoint>()> peers);

  void Start();

  // Returns the answer to another instance's question for a configuration
  // newer than `revision`. `own_fresh` says whether this instance's one is
  // confirmed.
  static std::string AnswerConfig(Revision revision,
                                  const RequestRouter& router,
                                  const std::string* text, bool own_fresh);

 private:
  void Round();
  void Ask(const Endpoint& peer);
  void TakeConfig(const std::string& body);

  const PeerHelpOptions options_;
  boost::asio::io_context* const io_;
  Scheduler* const scheduler_;
  RandomSource* const random_;
  RequestRouter* const router_;
  ConfigWatch* const config_;
  const std::function<bool()> needed_;
  const std::function<std::vector<Endpoint>()> peers_;
};

// Path of the question for the configuration; the revision follows.
inline constexpr char kPeerConfigPath[] = "/peer/config?after=";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_HELP_H_
