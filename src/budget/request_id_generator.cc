#include "src/budget/request_id_generator.h"

#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {

RequestIdGenerator::RequestIdGenerator(InstanceId instance, Clock* clock,
                                       RandomSource* random)
    : instance_(std::move(instance)), clock_(clock), number_(random->Next()) {}

RequestId RequestIdGenerator::Next() {
  return RequestId(absl::StrCat(instance_.value(), "-",
                                absl::Hex(absl::ToUnixMillis(clock_->Now())),
                                "-", absl::Hex(number_++)));
}

std::optional<RequestIdFields> ParseRequestId(const RequestId& id) {
  const std::string& text = id.value();
  const std::size_t second = text.rfind('-');
  if (second == std::string::npos || second == 0) return std::nullopt;
  const std::size_t first = text.rfind('-', second - 1);
  if (first == std::string::npos || first == 0) return std::nullopt;
  std::int64_t milliseconds = 0;
  const std::string digits = text.substr(first + 1, second - first - 1);
  if (!absl::SimpleHexAtoi(digits, &milliseconds)) return std::nullopt;
  return RequestIdFields{.instance = InstanceId(text.substr(0, first)),
                         .created = absl::FromUnixMillis(milliseconds)};
}

}  // namespace wisteriareel
