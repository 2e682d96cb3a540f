#ifndef WISTERIAREEL_SRC_FORWARD_ROUTE_CONFIG_H_
#define WISTERIAREEL_SRC_FORWARD_ROUTE_CONFIG_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "wisteriareel/strong_string.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Names a set of targets that serve the same requests.
using ServiceId = StrongString<struct ServiceIdTag>;

// What may be repeated of a route's requests.
enum class RouteKind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  // An answer of events in ascending order of their ids.
  kStreaming,
};

// A service and its share of a route's requests.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// Where the requests of a host and path prefix go, and under which limits.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Longest time that a caller is kept waiting for the whole answer.
  absl::Duration timeout;
  // Time of the answer, or of a stream's first event, that callers expect.
  absl::Duration objective;
  // Longest pause between two events that callers expect.
  absl::Duration pause_objective;
  // 0 is the most urgent.
  int priority = 0;
  // Most targets that one request may be sent to.
  int attempts = 1;
  // Requests need no API key.
  bool is_public = false;
  // Requests name the shared parts of their prompts.
  bool names_prompt_segments = false;
  // A broken stream may go on at another target.
  bool resumable = false;
  std::vector<WeightedService> services;

  // Returns true if a request may run more than once.
  bool IsRetryable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

// What a service's model engines have in common.
struct EngineSpec {
  int slots = 0;
  Tokens cache_capacity;
  // Most output tokens that one event of a stream holds.
  int tokens_per_event = 1;

  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
  ServiceId id;
  // Most connections that one target accepts from all callers together.
  int max_connections = 0;
  // Set for model engines.
  std::optional<EngineSpec> engine;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct CustomerSpec {
  CustomerId id;
  std::vector<std::string> api_keys;
  // 0 is the most urgent; counts before the priority of the route.
  std::optional<int> priority;
  // Total that the customer may consume; unlimited if there is none.
  std::optional<Tokens> prepaid;

  friend bool operator==(const CustomerSpec&, const CustomerSpec&) = default;
};

// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 4 << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// One version of what operators configured.
struct RouteConfig {
  Revision revision;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  std::vector<CustomerSpec> customers;
  CallerLimits limits;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

// A RouteConfig with indexes for the request path. Immutable; readers share
// it by pointer.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  const RouteConfig& config() const { return config_; }

  // Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the customer that holds `api_key`, or null.
  const CustomerSpec* FindCustomer(std::string_view api_key) const;

  // Returns true if requests on routes that aren't public need a key.
  bool RequiresApiKeys() const { return !config_.customers.empty(); }

  // Returns the service's spec, or null.
  const ServiceSpec* FindService(const ServiceId& id) const;

 private:
  const RouteConfig config_;
  // Routes of a host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route*>> by_host_;
  absl::flat_hash_map<std::string, const CustomerSpec*> by_key_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_ROUTE_CONFIG_H_
