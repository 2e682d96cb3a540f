#include "src/forward/request_router.h"

#include <string_view>
#include <utility>

#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

// Time in which a newly started instance reads its configuration.
constexpr absl::Duration kNotLoadedRetryAfter = absl::Milliseconds(500);
// Time in which an outdated configuration is likely to be replaced.
constexpr absl::Duration kStaleRetryAfter = absl::Milliseconds(800);

// Returns the service of `route` for the request, chosen by weight and a stable
// hash of the request's id.
const ServiceId& ServiceFor(const Route& route, const RequestId& id) {
  std::uint64_t total = 0;
  for (const WeightedService& share : route.services) total += share.weight;
  if (total == 0) return route.services.front().service;
  std::uint64_t point = StableHash(id.value()) % total;
  for (const WeightedService& share : route.services) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace

RequestRouter::RequestRouter(RequestRouterOptions options)
    : options_(options) {}

bool RequestRouter::Apply(std::shared_ptr<const RouteTable> table,
                          absl::Time now) {
  const bool newer =
      table_ == nullptr || table_->config().revision < table->config().revision;
  if (table_ == nullptr ||
      table_->config().revision <= table->config().revision) {
    confirmed_ = now;
  }
  if (newer) table_ = std::move(table);
  return newer;
}

Refusal RequestRouter::RefuseUnknown(int status, Reason reason,
                                     absl::Time now) const {
  if (!IsStale(now)) return {.status = status, .reason = reason};
  return {.status = 503,
          .reason = Reason::kRevisionStale,
          .retry_after = kStaleRetryAfter};
}

std::variant<ExchangeRequest, Refusal> RequestRouter::Admit(
    const RequestInfo& info, absl::Time now) const {
  if (table_ == nullptr) {
    return Refusal{.status = 503,
                   .reason = Reason::kConfigNotLoaded,
                   .retry_after = kNotLoadedRetryAfter};
  }
  const std::string_view path_and_query = info.path;
  const std::string_view path =
      path_and_query.substr(0, path_and_query.find('?'));
  const Route* route = table_->FindRoute(info.host, path);
  if (route == nullptr) return RefuseUnknown(404, Reason::kNotFound, now);
  ExchangeRequest request{.info = info,
                          .table = table_,
                          .route = route,
                          .service = ServiceFor(*route, info.id),
                          .arrived = now};
  const CustomerSpec* customer = table_->FindCustomer(info.api_key);
  if (customer != nullptr) {
    request.customer = customer->id;
    request.customer_priority = customer->priority;
  } else if (table_->RequiresApiKeys() && !route->is_public) {
    return RefuseUnknown(401, Reason::kUnauthenticated, now);
  }
  const ServiceSpec* service = table_->FindService(request.service);
  if (service != nullptr) request.engine = service->engine;
  return request;
}

}  // namespace wisteriareel
