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

// Identifies a set of targets that serve the same requests.
using ServiceId = StrongString<struct ServiceIdTag>;

// Determines which requests of a route may be retried.
enum class RouteKind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  // The response is a stream of events in ascending order of their ids.
  kStreaming,
};

// A service and its share of a route's requests.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// The services and limits for requests with a host and path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Maximum time that a caller waits for the complete response.
  absl::Duration timeout;
  // Time in which callers expect the response, or the first event of a stream.
  absl::Duration objective;
  // Maximum pause between two events of a stream that callers expect.
  absl::Duration pause_objective;
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of targets that one request may be sent to.
  int attempts = 1;
  // Requests need no API key.
  bool is_public = false;
  // Requests list the segments of their prompts.
  bool names_prompt_segments = false;
  // A broken stream may be resumed at another target.
  bool resumable = false;
  std::vector<WeightedService> services;

  // Returns true if a request may run more than once.
  bool IsRetryable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

// Properties shared by all model engines of a service.
struct EngineSpec {
  int slots = 0;
  Tokens cache_capacity;
  // Maximum number of output tokens in one event of a stream.
  int tokens_per_event = 1;

  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
  ServiceId id;
  // Maximum number of connections that one target accepts from all its clients.
  int max_connections = 0;
  // Set for model engines.
  std::optional<EngineSpec> engine;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct CustomerSpec {
  CustomerId id;
  std::vector<std::string> api_keys;
  // 0 is the most urgent; takes precedence over the priority of the route.
  std::optional<int> priority;
  // Total number of tokens that the customer may consume; unlimited if unset.
  std::optional<Tokens> prepaid;

  friend bool operator==(const CustomerSpec&, const CustomerSpec&) = default;
};

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  // The HTTP parser holds no field of 64 KiB or more.
  static constexpr std::uint32_t kMaxHeaderBytes = 65535;

  // At most kMaxHeaderBytes in a RouteTable.
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 4 << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// One revision of the operators' configuration.
struct RouteConfig {
  Revision revision;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  std::vector<CustomerSpec> customers;
  CallerLimits limits;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

// A RouteConfig with indexes for the request path. Immutable, so that readers
// can share it by pointer.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  const RouteConfig& config() const { return config_; }

  // Returns the route of `host` whose prefix is the longest match of `path`, or
  // null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the customer with `api_key`, or null.
  const CustomerSpec* FindCustomer(std::string_view api_key) const;

  // Returns true if requests to non-public routes need an API key.
  bool RequiresApiKeys() const { return !config_.customers.empty(); }

  // Returns the service's spec, or null.
  const ServiceSpec* FindService(const ServiceId& id) const;

 private:
  const RouteConfig config_;
  // Routes of each host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route*>> by_host_;
  absl::flat_hash_map<std::string, const CustomerSpec*> by_key_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_ROUTE_CONFIG_H_
