#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_TEMPLATES_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_TEMPLATES_H_

#include <algorithm>
#include <memory>
#include <string>
#include <variant>

#include "src/rpc/operator_service.h"

// Definitions of OperatorService's member templates, for its *_calls.cc files.
namespace wisteriareel {

inline constexpr std::uint32_t kDefaultPageSize = 100;
inline constexpr std::uint32_t kMaxPageSize = 1000;

// Returns the page size for the `requested` one, of which 0 means the default.
inline std::uint32_t PageSizeOf(std::uint32_t requested) {
  return requested == 0 ? kDefaultPageSize : std::min(requested, kMaxPageSize);
}

template <typename Value, typename Request, typename Response>
grpc::Status OperatorService::ListPage(
    ConfigKind kind, const Request& request, Response* response,
    const std::function<bool(const Value&)>& matches,
    const std::function<void(const Value&)>& emit) {
  const std::shared_ptr<const ConfigSnapshot> snapshot =
      services_.config_view->Current();
  const std::uint32_t limit = PageSizeOf(request.page_size());
  std::uint32_t count = 0;
  std::string last;
  snapshot->Visit(kind, request.page_token(), [&](const ConfigValue& entry) {
    const auto* value = std::get_if<Value>(&entry);
    if (value == nullptr || !matches(*value)) return true;
    if (count == limit) {
      response->set_next_page_token(last);
      return false;
    }
    emit(*value);
    last = KeyOf(entry).id;
    ++count;
    return true;
  });
  response->set_revision(snapshot->revision().value());
  return grpc::Status::OK;
}

template <typename Value, typename Response>
grpc::Status OperatorService::GetEntry(
    OperatorCall& call, const ConfigKey& key, Response* response,
    const std::function<void(const Value&)>& emit) {
  LastReason reason;
  const std::optional<EntryVersion> entry = ReadExisting(call, key, &reason);
  if (!entry) return call.Fail(reason);
  emit(std::get<Value>(*entry->value));
  response->set_version(entry->version);
  return grpc::Status::OK;
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_TEMPLATES_H_
