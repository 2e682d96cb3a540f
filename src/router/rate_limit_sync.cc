#include "src/router/rate_limit_sync.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

// Fits into a row of the platform.
constexpr std::size_t kMaxReportBytes = 24 << 10;
constexpr char kSeparators[] = " ,;\n";
constexpr char kNoLimit[] = "-";
constexpr std::size_t kFields = 6;

std::optional<RateLimitNotice> ParseNotice(absl::string_view entry) {
  const std::vector<std::string> fields = absl::StrSplit(entry, ',');
  RateLimitNotice notice;
  std::uint32_t port = 0;
  if (fields.size() != kFields || fields[0].empty() ||
      !absl::SimpleAtoi(fields[1], &notice.started_ms) ||
      !absl::SimpleAtoi(fields[3], &port) ||
      port > std::numeric_limits<std::uint16_t>::max() ||
      !absl::SimpleAtoi(fields[5], &notice.observed_ms)) {
    return std::nullopt;
  }
  notice.target = TargetId(fields[0]);
  notice.address = {.host = fields[2],
                    .port = static_cast<std::uint16_t>(port)};
  if (fields[4] == kNoLimit) return notice;
  double per_second = 0;
  if (!absl::SimpleAtod(fields[4], &per_second) || !std::isfinite(per_second) ||
      per_second < 0) {
    return std::nullopt;
  }
  notice.per_second = per_second;
  return notice;
}

// Returns true if the notices differ in more than their times.
bool IsNews(const std::vector<RateLimitNotice>& notices,
            const std::vector<RateLimitNotice>& before) {
  return !std::equal(notices.begin(), notices.end(), before.begin(),
                     before.end(), [](RateLimitNotice a, RateLimitNotice b) {
                       a.observed_ms = 0;
                       b.observed_ms = 0;
                       return a == b;
                     });
}

// Returns a text that is parsed as the same number, so that all instances
// compute with it.
std::string FormatExactly(double number) {
  char buf[32];
  const std::to_chars_result end =
      std::to_chars(buf, buf + sizeof(buf), number);
  return {buf, end.ptr};
}

std::string FormatLimit(std::optional<double> per_second) {
  return per_second.has_value() ? absl::StrCat(*per_second) : "none";
}

}  // namespace

std::string EncodeRateLimitNotices(
    const std::vector<RateLimitNotice>& notices) {
  std::string text;
  for (const RateLimitNotice& notice : notices) {
    const std::string names =
        notice.target.value() + "\n" + notice.address.host;
    if (names.find_first_of(kSeparators) != notice.target.value().size() ||
        names.find_last_of(kSeparators) != notice.target.value().size()) {
      continue;
    }
    const std::string limit = notice.per_second.has_value()
                                  ? FormatExactly(*notice.per_second)
                                  : kNoLimit;
    const std::string entry = absl::StrCat(
        notice.target.value(), ",", notice.started_ms, ",", notice.address.host,
        ",", notice.address.port, ",", limit, ",", notice.observed_ms, ";");
    if (text.size() + entry.size() > kMaxReportBytes) break;
    text += entry;
  }
  return text;
}

std::vector<RateLimitNotice> DecodeRateLimitNotices(const std::string& text) {
  std::vector<RateLimitNotice> notices;
  for (const absl::string_view entry :
       absl::StrSplit(text, ';', absl::SkipEmpty())) {
    std::optional<RateLimitNotice> notice = ParseNotice(entry);
    if (notice.has_value()) notices.push_back(*std::move(notice));
  }
  return notices;
}

RateLimitSync::RateLimitSync(RateLimitSyncOptions options,
                             const RateLimitSyncDependencies& dependencies)
    : options_(options), dependencies_(dependencies) {}

const std::string& RateLimitSync::GetReport() {
  UpdateEpoch();
  const absl::Time now = dependencies_.scheduler->Now();
  std::vector<RateLimitNotice> notices =
      dependencies_.limits->CollectNotices(now);
  if (!IsNews(notices, reported_) &&
      now - reported_at_ < options_.refresh_interval) {
    return report_;
  }
  reported_ = std::move(notices);
  reported_at_ = now;
  report_ = EncodeRateLimitNotices(reported_);
  return report_;
}

void RateLimitSync::ApplyReport(const std::string& instance,
                                const std::string& report) {
  UpdateEpoch();
  const absl::Time now = dependencies_.scheduler->Now();
  for (const RateLimitNotice& notice : DecodeRateLimitNotices(report)) {
    const TargetEntry target{.id = notice.target,
                             .address = notice.address,
                             .started_ms = notice.started_ms};
    const std::optional<double> before = dependencies_.limits->Limit(target);
    dependencies_.limits->Merge(notice, now);
    const std::optional<double> limit = dependencies_.limits->Limit(target);
    if (limit == before) continue;
    dependencies_.log->Write(EventId::kTargetRateLimit, Severity::kInfo,
                             "the rate limit of a target changed",
                             {{"target", notice.target.value()},
                              {"per_second", FormatLimit(limit)},
                              {"instance", instance}});
  }
}

void RateLimitSync::ApplyInstances(const std::vector<std::string>& names,
                                   bool confirmed) {
  UpdateEpoch();
  dependencies_.limits->SetInstances(names, confirmed,
                                     dependencies_.scheduler->Now());
}

void RateLimitSync::UpdateEpoch() {
  const std::optional<TableContact> contact =
      dependencies_.table->LastContact();
  if (!contact.has_value()) return;
  dependencies_.limits->SetPlatformEpoch(
      contact->received - absl::Milliseconds(contact->platform_ms));
}

}  // namespace wisteriareel
