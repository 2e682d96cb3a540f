#include "src/forward/route_config.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"

namespace wisteriareel {
namespace {

// Returns `host` in lower case and without its port.
std::string HostKey(std::string_view host) {
  const std::size_t colon = host.find(':');
  std::string key(host.substr(0, colon));
  absl::AsciiStrToLower(&key);
  return key;
}

RouteConfig ClampLimits(RouteConfig config) {
  std::uint32_t& bytes = config.limits.max_header_bytes;
  bytes = std::min(bytes, CallerLimits::kMaxHeaderBytes);
  return config;
}

}  // namespace

RouteTable::RouteTable(RouteConfig config)
    : config_(ClampLimits(std::move(config))) {
  for (const Route& route : config_.routes) {
    by_host_[HostKey(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
  for (const CustomerSpec& customer : config_.customers) {
    for (const std::string& key : customer.api_keys) by_key_[key] = &customer;
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto it = by_host_.find(HostKey(host));
  if (it == by_host_.end()) return nullptr;
  for (const Route* route : it->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const CustomerSpec* RouteTable::FindCustomer(std::string_view api_key) const {
  const auto it = by_key_.find(std::string(api_key));
  return it == by_key_.end() ? nullptr : it->second;
}

const ServiceSpec* RouteTable::FindService(const ServiceId& id) const {
  for (const ServiceSpec& service : config_.services) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

}  // namespace wisteriareel
