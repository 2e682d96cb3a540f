#include "src/rpc/night_report.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/container/flat_hash_set.h"

namespace wisteriareel {

std::vector<NightReportLine> SumRecords(
    const std::vector<RequestRecord>& records, const CustomerId& customer) {
  std::map<std::tuple<CustomerId, Verdict, Reason>, NightReportLine> lines;
  absl::flat_hash_set<RequestId> seen;
  for (const RequestRecord& record : records) {
    if (!customer.empty() && record.customer != customer) continue;
    if (!seen.insert(record.request).second) continue;
    NightReportLine& line =
        lines[{record.customer, record.verdict, record.reason}];
    line.customer = record.customer;
    line.verdict = record.verdict;
    line.reason = record.reason;
    ++line.requests;
    line.retries +=
        static_cast<std::uint64_t>(std::max(0, record.attempts - 1));
    line.prompt_tokens += record.prompt_tokens;
    line.output_tokens += record.output_tokens;
    line.billed += record.billed;
  }
  std::vector<NightReportLine> ordered;
  ordered.reserve(lines.size());
  for (auto& [key, line] : lines) ordered.push_back(line);
  return ordered;
}

}  // namespace wisteriareel
