#ifndef WISTERIAREEL_TEST_CONFIG_TEST_SUPPORT_H_
#define WISTERIAREEL_TEST_CONFIG_TEST_SUPPORT_H_

#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/config_types.h"

namespace wisteriareel {

inline constexpr absl::Duration kTestTimeout = absl::Seconds(2);

inline Customer TestCustomer(int number, std::uint32_t weight = 1) {
  return {.id = CustomerId(absl::StrCat("customer-", number)),
          .display_name = absl::StrCat("Customer ", number),
          .weight = weight};
}

inline ChangeOrder PutOrder(
    const std::string& order, const ConfigValue& value,
    std::optional<std::uint64_t> expected = std::nullopt) {
  return {.order = OrderId(order),
          .operator_name = "tester",
          .changes = {{KeyOf(value), value, expected}}};
}

inline ChangeOrder RemoveOrder(
    const std::string& order, const ConfigKey& key,
    std::optional<std::uint64_t> expected = std::nullopt) {
  return {.order = OrderId(order),
          .operator_name = "tester",
          .changes = {{key, std::nullopt, expected}}};
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_CONFIG_TEST_SUPPORT_H_
