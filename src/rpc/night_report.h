#ifndef WISTERIAREEL_SRC_RPC_NIGHT_REPORT_H_
#define WISTERIAREEL_SRC_RPC_NIGHT_REPORT_H_

#include <cstdint>
#include <vector>

#include "wisteriareel/reason.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// Totals over one customer's requests with the same verdict and reason.
struct NightReportLine {
  CustomerId customer;
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::uint64_t requests = 0;
  // Attempts beyond the first of each request.
  std::uint64_t retries = 0;
  Tokens prompt_tokens;
  Tokens output_tokens;
  Tokens billed;

  friend bool operator==(const NightReportLine&,
                         const NightReportLine&) = default;
};

// Returns one entry per customer, verdict and reason found in `records`, sorted
// by these. An empty `customer` selects all customers. A request whose record
// occurs more than once is counted once.
std::vector<NightReportLine> SumRecords(
    const std::vector<RequestRecord>& records, const CustomerId& customer);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_NIGHT_REPORT_H_
