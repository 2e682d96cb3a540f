#include "src/forward/connection_shares.h"

#include <algorithm>

namespace wisteriareel {
namespace {

// Parts of a machine that one listener may use.
struct ListenerShare {
  // Of the memory: for what the process keeps, and for the bytes of all
  // connections that the kernel has received and the process hasn't read.
  double kept_memory = 0;
  double received_memory = 0;
  double descriptors = 0;
  // Of the descriptors: for the requests that are served, each of which may
  // have a connection to a target.
  double served_descriptors = 0;
};

constexpr ListenerShare kCallersShare{.kept_memory = 0.3,
                                      .received_memory = 0.25,
                                      .descriptors = 0.38,
                                      .served_descriptors = 0.25};
constexpr ListenerShare kPeersShare{
    .kept_memory = 0.06, .received_memory = 0.06, .descriptors = 0.1};
constexpr ListenerShare kReadyShare{
    .kept_memory = 0.01, .received_memory = 0.02, .descriptors = 0.02};
// Part of the connections that may be closing beside the others.
constexpr double kClosingShare = 0.125;

std::size_t Part(double share, std::size_t whole) {
  return static_cast<std::size_t>(share * static_cast<double>(whole));
}

ConnectionLimiterOptions LimitsOf(const ListenerShare& share,
                                  const MachineLimits& machine) {
  const std::size_t connections = std::min(
      Part(share.descriptors, machine.descriptors),
      Part(share.received_memory, machine.memory_bytes) / kReceiveBufferBytes);
  return {
      .max_bytes = Part(share.kept_memory, machine.memory_bytes),
      .max_connections = std::max<std::size_t>(1, connections),
      .max_closing = std::max<std::size_t>(1, Part(kClosingShare, connections)),
      .max_served = Part(share.served_descriptors, machine.descriptors)};
}

}  // namespace

ConnectionShares DivideMachine(const MachineLimits& machine) {
  return {.callers = LimitsOf(kCallersShare, machine),
          .peers = LimitsOf(kPeersShare, machine),
          .ready = LimitsOf(kReadyShare, machine)};
}

}  // namespace wisteriareel
