#include "src/budget/record_batch.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

constexpr char kRoot[] = "records/";

std::optional<std::uint64_t> ReadHex(absl::string_view text) {
  std::uint64_t number = 0;
  if (!absl::SimpleHexAtoi(text, &number)) return std::nullopt;
  return number;
}

}  // namespace

std::int64_t HourOf(absl::Time time) {
  return absl::ToUnixSeconds(time) / 3600;
}

std::string HourPrefix(std::int64_t hour) {
  return absl::StrCat(kRoot, absl::Hex(hour, absl::kZeroPad8), "/");
}

std::string InstancePrefix(std::int64_t hour, const InstanceId& instance) {
  return absl::StrCat(HourPrefix(hour), instance.value(), "/");
}

std::string Encode(const BatchName& name) {
  return absl::StrCat(InstancePrefix(name.hour, name.instance), name.process,
                      "-", absl::Hex(name.number, absl::kZeroPad16), "-",
                      absl::Hex(absl::ToUnixMillis(name.first_created)), "-",
                      absl::Hex(absl::ToUnixMillis(name.last_created)));
}

std::optional<BatchName> DecodeBatchName(const std::string& text) {
  const std::vector<std::string> path = absl::StrSplit(text, '/');
  if (path.size() != 4) return std::nullopt;
  const std::vector<std::string> leaf = absl::StrSplit(path[3], '-');
  if (leaf.size() != 4) return std::nullopt;
  const auto hour = ReadHex(path[1]);
  const auto number = ReadHex(leaf[1]);
  const auto first = ReadHex(leaf[2]);
  const auto last = ReadHex(leaf[3]);
  if (!hour || !number || !first || !last) return std::nullopt;
  return BatchName{
      .hour = static_cast<std::int64_t>(*hour),
      .instance = InstanceId(path[2]),
      .process = leaf[0],
      .number = *number,
      .first_created = absl::FromUnixMillis(static_cast<std::int64_t>(*first)),
      .last_created = absl::FromUnixMillis(static_cast<std::int64_t>(*last))};
}

}  // namespace wisteriareel
